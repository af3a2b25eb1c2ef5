// Priority with which engines admit the requests that wait for a slot.
//
// The promised rank of the route or organisation comes first; among requests of equal rank the one with the least
// slack, which is the time that its caller can still wait beyond the time that its work takes.
#pragma once

#include "catalogue/types/catalogue.h"
#include "framework/global/types/time.h"

#include <vector>

namespace magnolia::placement
{

/** Least urgent priority of the engines' protocol; 0 is the most urgent. */
inline constexpr int maxEnginePriority = 9;

/** The ranks and times of all streams of a configuration, which share the priorities of the protocol. */
struct UrgencyScale
{
    /** In ascending order, without duplicates; 0 is the most urgent. */
    std::vector<int> ranks;
    /** Longest time for which a caller waits for a first event. */
    Milliseconds longestWait{0};
};

[[nodiscard]] UrgencyScale urgencyScale(const catalogue::Catalogue &catalogue);

/**
 * Returns the priority of a request. Each rank of the scale has an equal part of the priorities, which its requests
 * share in proportion to their slack.
 */
[[nodiscard]] int enginePriority(const UrgencyScale &scale, int rank, Milliseconds slack);

} // namespace magnolia::placement
