// A request that is run on modelled engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::enginemodel
{

/** Index of an engine in its fleet, from 0. */
using EngineIndex = std::size_t;
using JobId = std::uint64_t;

struct ModelJob
{
    JobId id = 0;
    /** Prefills the first part of the prompt and decodes the answer. */
    EngineIndex primary = 0;
    /** Prefill one equal part of the prompt each, in addition to the primary. */
    std::vector<EngineIndex> helpers;
    double promptTokens = 0;
    /** Length of the complete answer in tokens. */
    double outputTokens = 1;
    /** Tokens of memory that each helper reserves for the request; 0 if all its memory is at the primary. */
    double reservedTokensPerHelper = 0;
    /** From 0 to 9; lower values are admitted first. */
    int priority = 5;
    /** The primary crashes when it would emit the first event of the answer. */
    bool isCrashing = false;
};

} // namespace magnolia::enginemodel
