// Finds streams and reservations on engines that nobody uses any more.
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
    return std::any_of(list.instances.begin(), list.instances.end(), [&instance](const PublishedInstance &one) {
        return one.role == InstanceRole::Entry && one.id == instance.value();
    });
}

// Age from which the item is released; judged anew with each report.
Milliseconds graceOf(const EngineAllocation &item, const ReconciliationContext &facts)
{
    const Milliseconds atLatest = facts.maxFinishTime + unknownOwnerMargin;
    const auto owner = parseOwner(item.owner);
    if (!owner) {
        return atLatest;
    }
    if (owner->instance == facts.self) {
        if (owner->incarnation < facts.incarnation) {
            return Milliseconds(0);
        }
        return facts.activeIds.contains(item.id) ? atLatest : unknownOwnItemGrace;
    }
    const auto it = facts.membership.peers.find(owner->instance);
    const bool isKnown = it != facts.membership.peers.end();
    if (isKnown && it->second.state != PeerState::Dead && it->second.incarnation > owner->incarnation) {
        return Milliseconds(0);
    }
    const bool isDead = !isKnown || it->second.state == PeerState::Dead;
    const bool isGone = isDead && facts.list.revision > 0 && !isListed(facts.list, owner->instance);
    return isGone ? std::min(removedOwnerGrace, atLatest) : atLatest;
}

} // namespace

std::vector<EngineAllocation> reconcile(AllocationHistory &since, const UpstreamId &engine,
    const std::vector<EngineAllocation> &held, const ReconciliationContext &facts, MonoTime now)
{
    std::map<EngineAllocation, MonoTime> stillHeld;
    std::vector<EngineAllocation> released;
    for (const EngineAllocation &item : held) {
        const auto it = since.firstSeen.find(item);
        const MonoTime firstSeen = it == since.firstSeen.end() ? now : it->second;
        stillHeld.emplace(item, firstSeen);
        if (now - firstSeen >= graceOf(item, facts)) {
            released.push_back(item);
        }
    }
    std::erase_if(since.firstSeen, [&engine](const auto &entry) {
        return entry.first.upstream == engine;
    });
    since.firstSeen.merge(stillHeld);
    return released;
}

} // namespace magnolia::kvmemory
