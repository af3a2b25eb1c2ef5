// Determines the upstreams of the data centre that this instance observes.
#include "entry/internal/run/upstreamassignment.h"

#include "observing/observerassignment.h"

#include <algorithm>

namespace magnolia::entry
{

bool isPeerAlive(const MembershipView &view, const std::string &id)
{
    const auto it = view.peers.find(InstanceId(id));
    return it != view.peers.end() && (it->second.state == PeerState::Alive || it->second.state == PeerState::Suspect);
}

std::vector<PublishedInstance> assignedUpstreams(
    const PublishedList &list, const MembershipView &view, const InstanceId &self, const DataCentreId &dataCentre)
{
    std::vector<std::string> entries{self.value()};
    std::vector<UpstreamId> upstreams;
    for (const PublishedInstance &instance : list.instances) {
        if (instance.dataCentre != dataCentre) {
            continue;
        }
        if (instance.role != InstanceRole::Entry) {
            upstreams.emplace_back(instance.id);
        } else if (instance.id != self.value() && isPeerAlive(view, instance.id)) {
            entries.push_back(instance.id);
        }
    }
    const auto assignedIds = observing::upstreamsToObserve(self, entries, upstreams);
    std::vector<PublishedInstance> assigned;
    for (const PublishedInstance &instance : list.instances) {
        if (std::find(assignedIds.begin(), assignedIds.end(), UpstreamId(instance.id)) != assignedIds.end()) {
            assigned.push_back(instance);
        }
    }
    return assigned;
}

} // namespace magnolia::entry
