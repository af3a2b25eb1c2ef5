// Estimated current load of one upstream: its last report, extrapolated to now and corrected by own requests.
#pragma once

#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>

namespace magnolia::observing
{

struct LoadEstimate
{
    /** Prefill queued ahead of a short prompt. */
    Tokens shortPrefill;
    /** Own long prefills without first token that are due no later than the request being routed. */
    Tokens urgentLongPrefill;
    /** All queued prefill. */
    Tokens totalPrefill;
    /** Long prefills known to be queued or running: own ones, or one where the reported queue implies it. */
    std::uint32_t longPrefillCount = 0;
    /** Running and waiting requests. */
    std::uint32_t requestCount = 0;
    Tokens freeMemory;
    /** Estimated KV memory that the waiting short requests need. */
    Tokens waitingMemory;
    /** KV memory of the running short requests, estimated from their number. */
    Tokens runningMemory;
    bool hasReport = false;
    Milliseconds reportAge{0};
};

/** Load of the fleet as a whole; replaces an upstream's own report where that is old or missing. */
struct FleetLoad
{
    /** Mean queued prefill per upstream over all usable reports, in tokens. */
    double meanQueuedPrefill = 0;
    /** Prefill that all other entries together send to one upstream, in tokens per second. */
    double peerTokensPerSecond = 0;
};

} // namespace magnolia::observing
