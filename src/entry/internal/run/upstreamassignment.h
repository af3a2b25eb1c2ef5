// Determines the upstreams of the data centre that this instance observes.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/types/ids.h"

#include <string>
#include <vector>

namespace magnolia::entry
{

/** Returns whether the instance is alive or suspected in the membership view. */
[[nodiscard]] bool isPeerAlive(const MembershipView &view, const std::string &id);

/** Returns the upstreams assigned to `self` by rendezvous hashing over the live entry instances of the data centre. */
[[nodiscard]] std::vector<PublishedInstance> assignedUpstreams(
    const PublishedList &list, const MembershipView &view, const InstanceId &self, const DataCentreId &dataCentre);

} // namespace magnolia::entry
