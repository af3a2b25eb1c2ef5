// Processor time of one placement decision and of one note of a peer, by the size of the fleet.
#pragma once

#include <cstddef>
#include <vector>

namespace magnolia::bench
{

struct DecisionCost
{
    std::size_t engines = 0;
    std::size_t placements = 0;
    /** Means in microseconds of this machine. */
    double decisionUs = 0;
    double noteUs = 0;
};

[[nodiscard]] std::vector<DecisionCost> measureDecisionCosts();

} // namespace magnolia::bench
