// Measures the time of a placement decision and of a placement-table update from a peer, depending on the size of the
// fleet.
#pragma once

#include <cstddef>
#include <vector>

namespace magnolia::bench
{

/** Mean times for one fleet size, in microseconds on this machine. */
struct DecisionCost
{
    std::size_t engineCount = 0;
    std::size_t placementCount = 0;
    double decisionUs = 0;
    /** Time for one message about a placement: placed, first event or ended. */
    double updateUs = 0;
};

/** Measures fleets from 14 to 2,800 engines. */
[[nodiscard]] std::vector<DecisionCost> measureDecisionCosts();

} // namespace magnolia::bench
