// State of a group reservation, and the calls that its steps request.
#pragma once

#include "kvmemory/types/groupplan.h"

#include <cstddef>
#include <vector>

namespace magnolia::kvmemory
{

enum class GroupPhase {
    /** The members are asked one after the other. */
    Acquiring,
    /** All members hold the reservation. */
    Held,
    /** A member refused or did not answer; the reserved memory is released. */
    Failed,
    /** Released after use. */
    Released,
};

enum class GroupAction {
    Reserve,
    Release,
};

/** A call that the executor has to make. Releases are idempotent and repeated until they are confirmed. */
struct GroupEffect
{
    GroupAction action = GroupAction::Reserve;
    GroupMember member;
};

struct GroupState
{
    // Invariant: members are sorted by id, so that all reservers ask in the same order.
    GroupPlan plan;
    GroupPhase phase = GroupPhase::Acquiring;
    /** Number of members asked so far; in phase Acquiring the last of them has not answered yet. */
    std::size_t requestedCount = 0;
};

} // namespace magnolia::kvmemory
