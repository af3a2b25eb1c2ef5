// Which upstreams of the data centre this instance looks after.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/types/ids.h"

#include <string>
#include <vector>

namespace magnolia::entry
{

/** Whether membership holds the instance for alive, be it under suspicion. */
[[nodiscard]] bool isPeerAlive(const MembershipView &view, const std::string &id);

/** Upstreams of the data centre that are this instance's by rendezvous hashing over the entries alive there. */
[[nodiscard]] std::vector<PublishedInstance> assignedUpstreams(
    const PublishedList &list, const MembershipView &view, const InstanceId &self, const DataCentreId &dataCentre);

} // namespace magnolia::entry
