// The load of one upstream as of now: the last report, carried forward and corrected by own work.
#pragma once

#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>

namespace magnolia::observing
{

struct LoadEstimate
{
    /** Prefill ahead of a prompt that does not count as long. */
    Tokens shortPrefill;
    /** Own long prefills without first token that are due before the request that asks. */
    Tokens urgentLongPrefill;
    /** All prefill that waits. */
    Tokens totalPrefill;
    /** Long prefills known to wait or run there: own ones, or one where the report shows such a queue. */
    std::uint32_t longPrefillCount = 0;
    /** Requests running or waiting. */
    std::uint32_t requestCount = 0;
    Tokens freeMemory;
    /** KV memory that requests wait for, which are not long and were sent before. */
    Tokens waitingMemory;
    /** KV memory of running requests that are not long, as their number lets expect. */
    Tokens runningMemory;
    bool hasReport = false;
    Milliseconds reportAge{0};
};

/** What is known of the fleet as a whole; stands in where one upstream's own report is old or missing. */
struct FleetLoad
{
    /** Mean of the reports. */
    double meanQueuedPrefill = 0;
    /** Prefill that the other entries send to one upstream, in tokens a second. */
    double peerTokensPerSecond = 0;
};

} // namespace magnolia::observing
