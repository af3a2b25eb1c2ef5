// Finds unused streams and reservations on engines from the reports of the engines. It does no I/O.
#pragma once

#include "kvmemory/types/engineallocation.h"
#include "kvmemory/types/reconciliationcontext.h"

#include <map>
#include <vector>

namespace magnolia::kvmemory
{

/** Age at which an own allocation that this instance does not know is released; it may just be in its release. */
constexpr Milliseconds unknownOwnItemGrace{3000};
/** Age of release if the owner is dead by membership and missing from the published list. */
constexpr Milliseconds removedOwnerGrace{10000};
/** Added to the longest finish time for allocations whose owner is unreadable or may still be alive. */
constexpr Milliseconds unknownOwnerMargin{5000};

/** Time at which each allocation was first reported; one that is no longer reported is removed. */
struct AllocationHistory
{
    // Invariant: holds exactly the allocations of the latest report of each engine.
    std::map<EngineAllocation, MonoTime> firstSeen;
};

/**
 * Processes the report of one engine and returns the allocations to release there.
 *
 * An allocation is released if its owner has restarted since, if it belongs to this instance but is unknown to it, or
 * if its owner is dead by membership and missing from the published list. Any allocation older than the longest finish
 * time is released, because no request lasts longer. Until then an owner that is only unreachable keeps its
 * allocations, since it may be working on the other side of a network partition.
 */
[[nodiscard]] std::vector<EngineAllocation> reconcile(AllocationHistory &history, const UpstreamId &engine,
    const std::vector<EngineAllocation> &reported, const ReconciliationContext &context, MonoTime now);

} // namespace magnolia::kvmemory
