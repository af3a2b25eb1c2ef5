// One upstream that may take a request, with what is known of its speed.
#pragma once

#include "placement/types/placement.h"

namespace magnolia::placement
{

struct Candidate
{
    UpstreamKey key = 0;
    int slots = 1;
    /** Measured time over predicted time; above 1 is slow. */
    double slowdown = 1;
    /** Takes work again after failures, but only a single request at a time. */
    bool isOnTrial = false;
    /** One way, from this instance. */
    Milliseconds networkDelay{0};
    /** Requests that it has and nobody told of. */
    int unreportedRequests = 0;
};

} // namespace magnolia::placement
