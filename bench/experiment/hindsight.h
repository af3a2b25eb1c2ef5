// Estimates how much worth a policy could earn if it knew all arrivals in advance, as a reference for other policies.
#pragma once

#include "experiment.h"

namespace magnolia::bench
{

/**
 * Runs the arrivals repeatedly under the policy with full knowledge. Each run refuses some arrivals that earned less
 * than their full worth, and its refusals are kept if the total worth rises. The result is feasible but not optimal.
 */
[[nodiscard]] std::vector<Outcome> runInHindsight(
    const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed);

} // namespace magnolia::bench
