// State machine that reserves the memory of all engines of a group or of none. It does no I/O.
#pragma once

#include "kvmemory/types/groupstate.h"

#include <vector>

namespace magnolia::kvmemory
{

/** Result of a call to a member. */
enum class GroupAnswer {
    Granted,
    Refused,
    /** No answer was received: the member may or may not hold the reservation. */
    NoAnswer,
};

/** Sorts the members of the plan and asks the first one. */
[[nodiscard]] std::vector<GroupEffect> startGroupReservation(GroupState &state, GroupPlan plan);

/**
 * Handles the answer of the member that was asked last. A refusal releases everything at once instead of waiting, and
 * all reservers ask the members in the order of their ids: the one that gets the lowest contended engine continues. So
 * at least one of several reservers succeeds, and none waits for another.
 */
[[nodiscard]] std::vector<GroupEffect> handleGroupAnswer(GroupState &state, GroupAnswer answer);

/** Releases the group after use; has no effect if it was already released. */
[[nodiscard]] std::vector<GroupEffect> releaseGroupReservation(GroupState &state);

} // namespace magnolia::kvmemory
