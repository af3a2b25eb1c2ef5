// Estimates how many callers a policy could serve if it knew all arrivals in advance, as a reference for other
// policies.
#pragma once

#include "experiment.h"

namespace magnolia::bench
{

/**
 * Runs the arrivals repeatedly under the policy with full knowledge. Each run refuses some arrivals that were not
 * served on time, and its refusals are kept if more callers are served, or as many and more of them on time. The result
 * is feasible but not optimal.
 */
[[nodiscard]] std::vector<Outcome> runInHindsight(
    const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed);

} // namespace magnolia::bench
