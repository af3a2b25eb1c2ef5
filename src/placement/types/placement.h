// One request that runs at an upstream, as the instances tell each other.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <vector>

namespace magnolia::placement
{

/** Short name of an upstream between instances: the stable hash of its id. */
using UpstreamKey = std::uint64_t;
/** Names one attempt over all instances. */
using PlacementId = std::uint64_t;

struct Placement
{
    PlacementId id = 0;
    /** Receives the request, and writes. */
    UpstreamKey primary = 0;
    /** Read parts of the prompt; without the primary. */
    std::vector<UpstreamKey> helpers;
    double promptTokens = 0;
    double outputTokens = 0;
    Milliseconds gapTarget{0};
    /** When it was placed, by the clock of the instance that holds this record. */
    MonoTime placedAt{};
    /** Time from its placing to the first event that is on time. */
    Milliseconds firstEventTarget{0};
    /** Late already when it was placed: the engine admits it after all that can be on time. */
    bool isLate = false;
    /** Whether its first event has come. */
    bool isDecoding = false;
    /** Tokens of memory that each helper has set aside; 0 where all memory is at the primary. */
    double ticketTokens = 0;
};

} // namespace magnolia::placement
