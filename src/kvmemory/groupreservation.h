// Reserves the memory of a group of engines, all or none: a pure state machine.
#pragma once

#include "kvmemory/types/groupstate.h"

#include <vector>

namespace magnolia::kvmemory
{

/** How a member answered. */
enum class GroupAnswer {
    Granted,
    Refused,
    /** No answer: the member may hold the reservation or not. */
    NoAnswer,
};

/** Brings the plan's members into order and asks the first. */
[[nodiscard]] std::vector<GroupEffect> startGroupReservation(GroupState &state, GroupPlan plan);

/**
 * Takes in the answer of the member asked last. A refusal gives everything back at once instead of waiting, and all
 * reservers ask in the order of ids: whoever gets the lowest contended engine goes on, so that of several reservers
 * at least one is never stopped by the others, and none waits for another.
 */
[[nodiscard]] std::vector<GroupEffect> handleGroupAnswer(GroupState &state, GroupAnswer answer);

/** Gives the group back after its use; has no effect where it was given back before. */
[[nodiscard]] std::vector<GroupEffect> releaseGroupReservation(GroupState &state);

} // namespace magnolia::kvmemory
