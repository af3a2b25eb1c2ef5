// Parameters of the admission controller, for tests and benchmarks. Operators only set the targets of the classes.
#pragma once

#include "routing/types/routingpolicy.h"

namespace magnolia::admission
{

struct AdmissionParameters
{
    routing::RoutingPolicy policy = routing::RoutingPolicy::SlackAware;
    /** If false, every request is admitted regardless of the predictions; for benchmarks. */
    bool canRefuse = true;
    /** Retries to other upstreams earned by each new request. */
    double retryRatio = 0.1;
};

} // namespace magnolia::admission
