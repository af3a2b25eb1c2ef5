// Selection of the peers for the configuration distribution.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "configuration/types/peerinfo.h"

#include <vector>

namespace magnolia::configuration
{

/**
 * Returns the published entry instances that are not known to be dead, and the members that are not published yet, with
 * an empty data centre. Excludes `self`; sorted by id. Leaving instances are included, since they still answer.
 */
[[nodiscard]] std::vector<PeerInfo> livePeers(
    const PublishedList &list, const MembershipView &membership, const InstanceId &self);

} // namespace magnolia::configuration
