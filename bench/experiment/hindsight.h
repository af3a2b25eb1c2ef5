// What could have been earned by whoever had known all arrivals: bounds what better decisions can still gain.
#pragma once

#include "experiment.h"

namespace magnolia::bench
{

/**
 * Plays the arrivals with full knowledge again and again; each time those that earned nothing, or little for their
 * engine time, are refused from the start, as long as that earns more. No optimum, but a run that can be had.
 */
[[nodiscard]] std::vector<Outcome> playInHindsight(
    const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed);

} // namespace magnolia::bench
