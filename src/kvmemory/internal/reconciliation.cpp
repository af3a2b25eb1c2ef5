// Implements the search for unused streams and reservations.
#include "kvmemory/reconciliation.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace magnolia::kvmemory
{

namespace
{

struct Owner
{
    InstanceId instance;
    Incarnation incarnation;
};

std::optional<Owner> parseOwner(const std::string &text)
{
    const std::size_t slash = text.rfind('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    std::uint64_t incarnation = 0;
    const auto [end, ec] = std::from_chars(text.data() + slash + 1, text.data() + text.size(), incarnation);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return Owner{InstanceId(text.substr(0, slash)), Incarnation(incarnation)};
}

bool isListed(const PublishedList &list, const InstanceId &instance)
{
    return std::any_of(list.instances.begin(), list.instances.end(), [&instance](const PublishedInstance &published) {
        return published.role == InstanceRole::Entry && published.id == instance.value();
    });
}

// Returns the age at which the allocation is released; evaluated again for each report.
Milliseconds releaseAge(const EngineAllocation &allocation, const ReconciliationContext &context)
{
    const Milliseconds maxAge = context.maxFinishTime + unknownOwnerMargin;
    const auto owner = parseOwner(allocation.owner);
    if (!owner) {
        return maxAge;
    }
    if (owner->instance == context.self) {
        if (owner->incarnation < context.incarnation) {
            return Milliseconds(0);
        }
        return context.activeIds.contains(allocation.id) ? maxAge : unknownOwnItemGrace;
    }
    const auto it = context.membership.peers.find(owner->instance);
    const bool isKnown = it != context.membership.peers.end();
    if (isKnown && it->second.state != PeerState::Dead && it->second.incarnation > owner->incarnation) {
        return Milliseconds(0);
    }
    const bool isDead = !isKnown || it->second.state == PeerState::Dead;
    const bool isRemoved = isDead && context.list.revision > 0 && !isListed(context.list, owner->instance);
    return isRemoved ? std::min(removedOwnerGrace, maxAge) : maxAge;
}

} // namespace

std::vector<EngineAllocation> reconcile(AllocationHistory &history, const UpstreamId &engine,
    const std::vector<EngineAllocation> &reported, const ReconciliationContext &context, MonoTime now)
{
    std::map<EngineAllocation, MonoTime> stillHeld;
    std::vector<EngineAllocation> released;
    for (const EngineAllocation &allocation : reported) {
        const auto it = history.firstSeen.find(allocation);
        const MonoTime firstSeen = it == history.firstSeen.end() ? now : it->second;
        stillHeld.emplace(allocation, firstSeen);
        if (now - firstSeen >= releaseAge(allocation, context)) {
            released.push_back(allocation);
        }
    }
    std::erase_if(history.firstSeen, [&engine](const auto &entry) {
        return entry.first.upstream == engine;
    });
    history.firstSeen.merge(stillHeld);
    return released;
}

} // namespace magnolia::kvmemory
