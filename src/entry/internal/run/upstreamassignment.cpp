// Which upstreams of the data centre this instance looks after.
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
    const auto mine = observing::upstreamsToObserve(self, entries, upstreams);
    std::vector<PublishedInstance> assigned;
    for (const PublishedInstance &instance : list.instances) {
        if (std::find(mine.begin(), mine.end(), UpstreamId(instance.id)) != mine.end()) {
            assigned.push_back(instance);
        }
    }
    return assigned;
}

} // namespace magnolia::entry
