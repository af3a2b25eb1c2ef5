// Retries that all instances of a fleet together may make for one service.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::limits
{

struct FleetRetryLimits
{
    /** Retries for each new request. */
    double ratio = 0.2;
    /** Retries beyond that in each window. */
    double slack = 100;
    /** Length of the sliding windows in which retries are counted. */
    Milliseconds window{10'000};
};

} // namespace magnolia::limits
