// Selection of entry instances for a caller.
#include "locating/locating.h"

#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::locating
{

namespace
{

struct Ranked
{
    std::uint64_t weight = 0;
    std::string address;
};

bool isUsable(const PublishedInstance &instance, const LocateContext &context)
{
    if (instance.role != InstanceRole::Entry || instance.isLeaving) {
        return false;
    }
    if (instance.id == context.self.value()) {
        return !context.isSelfLeaving;
    }
    const auto it = context.membership.peers.find(InstanceId(instance.id));
    // A peer that is not in the membership view may still be starting, so the published list decides.
    return it == context.membership.peers.end() || it->second.state == PeerState::Alive
        || it->second.state == PeerState::Suspect;
}

std::vector<Ranked> rankEntries(const LocateContext &context, const OrganisationId &organisation)
{
    std::vector<Ranked> ranked;
    bool hasSelf = false;
    for (const PublishedInstance &instance : context.list.instances) {
        hasSelf = hasSelf || instance.id == context.self.value();
        if (isUsable(instance, context)) {
            ranked.push_back({rendezvousWeight(organisation.value(), instance.id), instance.address});
        }
    }
    if (!hasSelf && !context.isSelfLeaving) {
        ranked.push_back({rendezvousWeight(organisation.value(), context.self.value()), context.ownAddress});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(b.weight, a.address) < std::tie(a.weight, b.address);
    });
    return ranked;
}

} // namespace

LocateResponse locate(const LocateContext &context, const OrganisationId &organisation, Random &random)
{
    std::vector<Ranked> ranked = rankEntries(context, organisation);
    const std::size_t shardSize = std::min(ranked.size(), std::max(minShardSize, ranked.size() / shardDivisor));
    for (std::size_t i = shardSize; i > 1; --i) {
        std::swap(ranked[i - 1], ranked[random.below(i)]);
    }
    LocateResponse response;
    response.timeToLive = context.timeToLive;
    for (Ranked &entry : ranked) {
        response.addresses.push_back(std::move(entry.address));
    }
    if (response.addresses.empty()) {
        response.addresses.push_back(context.ownAddress);
    }
    return response;
}

} // namespace magnolia::locating
