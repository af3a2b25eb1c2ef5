// Ownership over time: what a new owner may trust, and what a former one hands over.
#include "idempotency/keycontroller.h"
#include "idempotency/uuidv7.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace magnolia::idempotency
{

namespace
{

/** Entries of `from` that are not in `without`; both ascending. */
std::vector<std::string> difference(const std::vector<std::string> &from, const std::vector<std::string> &without)
{
    std::vector<std::string> rest;
    std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(rest));
    return rest;
}

/** States that a sender may send; a decoded number may be none of the enumerators. */
bool isHandedState(KeyState state)
{
    return state == KeyState::Dispatched || state == KeyState::Ran || state == KeyState::Unknown
        || state == KeyState::Closed;
}

} // namespace

void KeyController::applyList(const PublishedList &list, WallTime now)
{
    if (!m_history.apply(list, now) || m_hasStopped || m_history.steps().size() < 2) {
        return;
    }
    const auto &steps = m_history.steps();
    const OwnershipPeriod &before = steps[steps.size() - 2];
    const OwnershipPeriod &step = steps.back();
    if (!isMember(before)) {
        return;
    }
    // While this instance stays, only newcomers take keys from it; when it goes, any entry may.
    const auto receivers = isMember(step) ? difference(step.members, before.members) : step.members;
    handOver(before.lastRevision, receivers, now);
}

void KeyController::stopOwning(WallTime now)
{
    if (m_hasStopped) {
        return;
    }
    m_hasStopped = true;
    const auto &steps = m_history.steps();
    if (!steps.empty() && isMember(steps.back())) {
        handOver(steps.back().lastRevision, difference(steps.back().members, {m_self.value()}), now);
    }
}

void KeyController::handOver(std::uint64_t lastOwnedRevision, const std::vector<std::string> &receivers, WallTime now)
{
    std::map<InstanceId, std::vector<HandedOverKey>> keys;
    for (const std::string &receiver : receivers) {
        keys[InstanceId(receiver)];
    }
    m_table.forEachDecided([&](const KeyName &name, const KeyRecord &record) {
        const auto owner = successor(name);
        const auto it = owner ? keys.find(*owner) : keys.end();
        if (it != keys.end()) {
            it->second.push_back({name, record.state, record.requestHash, record.answer});
        }
    });
    HandoverPart head;
    head.completeAfterMs = completeAfter().time_since_epoch().count();
    head.snapshotAtMs = now.time_since_epoch().count();
    for (auto &[receiver, handed] : keys) {
        head.name = HandoverId{m_self, m_incarnation, receiver, lastOwnedRevision};
        m_outbox.offer(head, std::move(handed));
    }
}

void KeyController::receive(const HandoverPart &part)
{
    if (part.name.receiver != m_self || part.name.sender == m_self) {
        return;
    }
    for (const HandedOverKey &key : part.keys) {
        if (!install(key)) {
            return;
        }
    }
    if (m_inbox.note(part)) {
        m_outbox.confirm(HandoverAck{part.name, part.index});
    }
}

bool KeyController::install(const HandedOverKey &key)
{
    const auto createdAt = creationTime(key.name.key);
    if (!createdAt || !isHandedState(key.state)) {
        return false;
    }
    const bool isForgotten = *createdAt <= m_table.forgottenUpTo();
    return isForgotten || m_table.install(key, *createdAt);
}

void KeyController::receive(const HandedOverKey &ended)
{
    if (ended.state == KeyState::Ran) {
        install(ended);
    }
}

std::optional<InstanceId> KeyController::successor(const KeyName &name) const
{
    return m_hasStopped ? m_history.heir(name) : m_history.owner(name);
}

void KeyController::receive(const HandoverAck &ack)
{
    if (ack.name.sender == m_self && ack.name.senderIncarnation == m_incarnation) {
        m_outbox.acknowledge(ack);
    }
}

bool KeyController::isAssured(const KeyName &name, WallTime createdAt) const
{
    if (!m_parameters.safeguards.enforcesHoldOff) {
        return true;
    }
    const Milliseconds holdOff = m_parameters.holdOff();
    const auto ownership = m_history.ownership(name, createdAt - holdOff);
    if (!ownership) {
        return false;
    }
    if (createdAt > ownershipStart(ownership->stamp) + holdOff) {
        return true;
    }
    if (!ownership->previousOwner) {
        return false;
    }
    const auto cover
        = m_inbox.cover(*ownership->previousOwner, ownership->previousFirstRevision, ownership->previousLastRevision);
    if (!cover) {
        return false;
    }
    return createdAt > cover->completeAfter && createdAt <= coveredUpTo(*cover, ownership->stamp);
}

WallTime KeyController::coveredUpTo(const HandoverCoverage &cover, WallTime stamp) const
{
    // Later keys may be those of a restarted sender, or of an earlier incarnation of this instance.
    return std::min(cover.snapshotAt + m_parameters.maxClockSkew, stamp) + m_parameters.holdOff();
}

WallTime KeyController::ownershipStart(WallTime stamp) const
{
    // An earlier incarnation of this instance may have acted on a newer list than the first one read now. One skew
    // is for its clock; the other lets a handover that it gave before cover all keys up to the hold-off.
    return std::max(stamp, m_startedAt + 2 * m_parameters.maxClockSkew);
}

WallTime KeyController::completeAfter() const
{
    WallTime floor = m_table.forgottenUpTo();
    const auto &steps = m_history.steps();
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (!isMember(steps[i])) {
            continue;
        }
        const WallTime stepAssured = i == 0 ? ownershipStart(steps[i].firstGeneratedAt) + m_parameters.holdOff()
                                            : stepFloor(steps[i - 1], steps[i]);
        floor = std::max(floor, stepAssured);
    }
    return floor;
}

WallTime KeyController::stepFloor(const OwnershipPeriod &before, const OwnershipPeriod &step) const
{
    const WallTime uncovered = ownershipStart(step.firstGeneratedAt) + m_parameters.holdOff();
    // Where a list named nobody, nobody can say who owned the keys before it.
    if (step.unseenTimeBefore > Milliseconds(0) || before.members.empty()) {
        return uncovered;
    }
    const auto givers = isMember(before) ? difference(before.members, step.members) : before.members;
    WallTime floor{};
    for (const std::string &sender : givers) {
        const auto cover = m_inbox.cover(InstanceId(sender), before.firstRevision, before.lastRevision);
        if (!cover || coveredUpTo(*cover, step.firstGeneratedAt) < uncovered) {
            return uncovered;
        }
        floor = std::max(floor, cover->completeAfter);
    }
    return floor;
}

bool KeyController::isMember(const OwnershipPeriod &step) const
{
    return std::binary_search(step.members.begin(), step.members.end(), m_self.value());
}

} // namespace magnolia::idempotency
