// Input of the reconciliation of engine memory, besides the reports of the engines.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <set>
#include <string>

namespace magnolia::kvmemory
{

struct ReconciliationContext
{
    InstanceId self;
    Incarnation incarnation;
    /** Ids of the active requests and reservations of this instance. */
    const std::set<std::string> &activeIds;
    const MembershipView &membership;
    const PublishedList &list;
    /** Longest finish time of all classes: no memory is in use for longer. */
    Milliseconds maxFinishTime{0};
};

} // namespace magnolia::kvmemory
