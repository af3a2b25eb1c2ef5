// An upstream that may take a request, and its known speed and load.
#pragma once

#include "placement/types/placement.h"

namespace magnolia::placement
{

struct Candidate
{
    UpstreamKey key = 0;
    int slots = 1;
    /** Ratio of measured to predicted time; above 1 is slower than predicted. */
    double slowdown = 1;
    /** Recovering from failures: takes only one request at a time. */
    bool isOnTrial = false;
    /** One-way network delay from this instance. */
    Milliseconds networkDelay{0};
    /** Requests running there that no instance has reported. */
    int unreportedRequests = 0;
};

} // namespace magnolia::placement
