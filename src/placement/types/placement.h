// A request placed on an upstream, as reported between instances.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <vector>

namespace magnolia::placement
{

/** Stable hash of an upstream id; identifies the upstream in messages between instances. */
using UpstreamKey = std::uint64_t;
/** Identifies an attempt across all instances. */
using PlacementId = std::uint64_t;

struct Placement
{
    PlacementId id = 0;
    /** Receives the request and decodes the response. */
    UpstreamKey primary = 0;
    /** Engines that prefill parts of the prompt, not including the primary. */
    std::vector<UpstreamKey> helpers;
    double promptTokens = 0;
    double outputTokens = 0;
    Milliseconds gapTarget{0};
    /** Time of the placement, on the clock of the instance that holds this record. */
    MonoTime placedAt{};
    /** Time from the placement by which the caller needs the first event; see CallerTime::untilFirstEvent(). */
    Milliseconds firstEventLimit{0};
    /** Whether the first event has arrived. */
    bool isDecoding = false;
    /** KV cache tokens reserved on each helper; 0 if all memory is on the primary. */
    double reservedTokensPerHelper = 0;
};

} // namespace magnolia::placement
