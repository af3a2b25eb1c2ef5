// Implements the choice of the peer to which a request is relayed.
#include "fleet/relaypeers.h"

#include <algorithm>

namespace magnolia::fleet
{

const Peer *chooseRelayPeer(const PeerTable &table, const RelayNeeds &needs, MonoTime now, Random &random)
{
    std::vector<const Peer *> near;
    std::vector<const Peer *> all;
    // This instance is partitioned too.
    std::size_t nearPartitionedCount = 1;
    for (const auto &[name, peer] : table.peers()) {
        if (table.isSilent(peer, now) || !peer.isReady || peer.isLeaving || peer.relayAddress.empty()) {
            continue;
        }
        const bool isNear = peer.dataCentre == needs.dataCentre;
        if (peer.isPartitioned) {
            nearPartitionedCount += isNear ? 1 : 0;
            continue;
        }
        const bool isExcluded = std::find(needs.excluded.begin(), needs.excluded.end(), name) != needs.excluded.end();
        const bool isRuledOut = isExcluded || (needs.isAllowed && !needs.isAllowed(peer));
        if (isRuledOut || peer.configurationVersion < needs.minConfigurationVersion) {
            continue;
        }
        all.push_back(&peer);
        if (isNear) {
            near.push_back(&peer);
        }
    }
    const std::vector<const Peer *> &candidates = near.size() >= nearPartitionedCount ? near : all;
    return candidates.empty() ? nullptr : candidates[random.below(candidates.size())];
}

} // namespace magnolia::fleet
