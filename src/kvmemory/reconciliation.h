// Finds streams and reservations on engines that nobody uses any more: a pure function of what engines report.
#pragma once

#include "kvmemory/types/engineallocation.h"
#include "kvmemory/types/reconciliationcontext.h"

#include <map>
#include <vector>

namespace magnolia::kvmemory
{

/** An item of this instance itself that it does not know: it may be in the middle of being given up. */
constexpr Milliseconds unknownOwnItemGrace{3000};
/** An owner that is dead by membership and not in the published list. */
constexpr Milliseconds removedOwnerGrace{10000};
/** Added to the longest time to finish, for items whose owner cannot be judged. */
constexpr Milliseconds unknownOwnerMargin{5000};

/** When each item was first seen; items that are no longer reported are forgotten. */
struct AllocationHistory
{
    // Invariant: holds just the items of the latest report of each engine.
    std::map<EngineAllocation, MonoTime> firstSeen;
};

/**
 * Takes in one engine's report and returns what is to be released there.
 *
 * An item is released when its owner has restarted since, when it is this instance's own and unknown to it, when its
 * owner is gone by membership and by the published list, and in any case when it is older than the longest time to
 * finish: no request is under way for longer. An owner that is merely out of reach is left alone until then, since it
 * may be working on the other side of a partition.
 */
[[nodiscard]] std::vector<EngineAllocation> reconcile(AllocationHistory &since, const UpstreamId &engine,
    const std::vector<EngineAllocation> &held, const ReconciliationContext &facts, MonoTime now);

} // namespace magnolia::kvmemory
