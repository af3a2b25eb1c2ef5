// Assignment of upstreams to entries by rendezvous hashing.
#include "observing/observerassignment.h"

#include "framework/global/hashing.h"

namespace magnolia::observing
{

std::vector<UpstreamId> upstreamsToObserve(
    const InstanceId &self, std::span<const std::string> entries, std::span<const UpstreamId> upstreams)
{
    std::vector<UpstreamId> observed;
    for (const UpstreamId &upstream : upstreams) {
        const auto owner = rendezvousOwner(upstream.value(), entries);
        if (!owner || entries[*owner] == self.value()) {
            observed.push_back(upstream);
        }
    }
    return observed;
}

} // namespace magnolia::observing
