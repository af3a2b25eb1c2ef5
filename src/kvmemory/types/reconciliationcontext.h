// What the reconciliation of engine memory stands on.
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
    /** Requests and reservations that this instance itself has under way. */
    const std::set<std::string> &activeIds;
    const MembershipView &membership;
    const PublishedList &list;
    /** Longest time to finish over all classes: nothing is in use for longer. */
    Milliseconds maxFinishTime{0};
};

} // namespace magnolia::kvmemory
