// One request as the engine model sees it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::enginemodel
{

/** Place of an engine in its fleet. */
using EngineIndex = std::size_t;
using JobId = std::uint64_t;

struct ModelJob
{
    JobId id = 0;
    /** Writes the answer. */
    EngineIndex primary = 0;
    /** Read even parts of the prompt, besides the first engine. */
    std::vector<EngineIndex> helpers;
    double promptTokens = 0;
    /** Tokens that the answer has in the end. */
    double outputTokens = 1;
    /** Memory that each helper has set aside for it; 0: all is at the first engine. */
    double reservedTokensPerHelper = 0;
    /** 0 to 9, where 0 is admitted first. */
    int priority = 5;
};

} // namespace magnolia::enginemodel
