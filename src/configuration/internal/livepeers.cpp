// Merges the published list with the membership view.
#include "configuration/livepeers.h"

namespace magnolia::configuration
{

std::vector<PeerInfo> livePeers(const PublishedList &list, const MembershipView &membership, const InstanceId &self)
{
    std::map<InstanceId, DataCentreId> dataCentres;
    for (const auto &[id, peer] : membership.peers) {
        dataCentres[id] = DataCentreId();
    }
    for (const PublishedInstance &instance : list.instances) {
        if (instance.role == InstanceRole::Entry) {
            dataCentres[InstanceId(instance.id)] = instance.dataCentre;
        }
    }
    std::vector<PeerInfo> peers;
    for (const auto &[id, dataCentre] : dataCentres) {
        const auto member = membership.peers.find(id);
        // Membership considers a listed instance dead until it answers, which at start applies to all of them. Only an
        // instance with an incarnation has answered before and is known to be dead.
        const bool isDead = member != membership.peers.end() && member->second.state == PeerState::Dead
            && member->second.incarnation != Incarnation(0);
        if (!isDead && id != self) {
            peers.push_back(PeerInfo{id, dataCentre});
        }
    }
    return peers;
}

} // namespace magnolia::configuration
