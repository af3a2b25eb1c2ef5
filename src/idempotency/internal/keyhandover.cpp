// Changes of key ownership: what a former owner hands over, and which keys a new owner may dispatch.
#include "idempotency/keycontroller.h"
#include "idempotency/uuidv7.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace magnolia::idempotency
{

namespace
{

/** Elements of `from` that are not in `without`; both in ascending order. */
std::vector<std::string> difference(const std::vector<std::string> &from, const std::vector<std::string> &without)
{
    std::vector<std::string> rest;
    std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(rest));
    return rest;
}

/** Whether a handover may contain `state`; a decoded number may match none of the enumerators. */
bool isHandoverState(KeyState state)
{
    return state == KeyState::Dispatched || state == KeyState::Ran || state == KeyState::Unknown
        || state == KeyState::Closed;
}

} // namespace

void KeyController::applyList(const PublishedList &list, WallTime now)
{
    if (!m_history.apply(list, now) || m_hasStopped || m_history.periods().size() < 2) {
        return;
    }
    const auto &periods = m_history.periods();
    const OwnershipPeriod &before = periods[periods.size() - 2];
    const OwnershipPeriod &period = periods.back();
    if (!isMember(before)) {
        return;
    }
    // While this instance stays listed, only new instances become owners of its keys; when it leaves, any may.
    const auto receivers = isMember(period) ? difference(period.members, before.members) : period.members;
    handOver(before.lastRevision, receivers, now);
}

void KeyController::stopOwning(WallTime now)
{
    if (m_hasStopped) {
        return;
    }
    m_hasStopped = true;
    const auto &periods = m_history.periods();
    if (!periods.empty() && isMember(periods.back())) {
        handOver(periods.back().lastRevision, difference(periods.back().members, {m_self.value()}), now);
    }
}

void KeyController::handOver(std::uint64_t lastOwnedRevision, const std::vector<std::string> &receivers, WallTime now)
{
    std::map<InstanceId, std::vector<HandedOverKey>> keys;
    for (const std::string &receiver : receivers) {
        keys[InstanceId(receiver)];
    }
    m_table.forEachDispatchedOrClosed([&](const KeyName &name, const KeyRecord &record) {
        const auto owner = successor(name);
        const auto it = owner ? keys.find(*owner) : keys.end();
        if (it != keys.end()) {
            it->second.push_back({name, record.state, record.requestHash, record.answer});
        }
    });
    HandoverPart head;
    head.completeAfterMs = completeAfter().time_since_epoch().count();
    head.snapshotAtMs = now.time_since_epoch().count();
    for (auto &[receiver, receiverKeys] : keys) {
        head.name = HandoverId{m_self, m_incarnation, receiver, lastOwnedRevision};
        m_outbox.sendKeys(head, std::move(receiverKeys));
    }
}

void KeyController::receive(const HandoverPart &part)
{
    if (part.name.receiver != m_self || part.name.sender == m_self) {
        return;
    }
    for (const HandedOverKey &key : part.keys) {
        if (!importKey(key)) {
            return;
        }
    }
    if (m_inbox.recordPart(part)) {
        m_outbox.sendAck(HandoverAck{part.name, part.index});
    }
}

bool KeyController::importKey(const HandedOverKey &key)
{
    const auto createdAt = creationTime(key.name.key);
    if (!createdAt || !isHandoverState(key.state)) {
        return false;
    }
    const bool isRemoved = *createdAt <= m_table.removedUpTo();
    return isRemoved || m_table.importKey(key, *createdAt);
}

void KeyController::receive(const HandedOverKey &finishedKey)
{
    if (finishedKey.state == KeyState::Ran) {
        importKey(finishedKey);
    }
}

std::optional<InstanceId> KeyController::successor(const KeyName &name) const
{
    return m_hasStopped ? m_history.ownerWithoutSelf(name) : m_history.owner(name);
}

void KeyController::receive(const HandoverAck &ack)
{
    if (ack.name.sender == m_self && ack.name.senderIncarnation == m_incarnation) {
        m_outbox.acknowledge(ack);
    }
}

bool KeyController::isDispatchHistoryKnown(const KeyName &name, WallTime createdAt) const
{
    if (!m_parameters.safeguards.enforcesHoldOff) {
        return true;
    }
    const Milliseconds holdOff = m_parameters.holdOff();
    const auto ownership = m_history.ownership(name, createdAt - holdOff);
    if (!ownership) {
        return false;
    }
    if (createdAt > effectiveOwnershipStart(ownership->acquiredAt) + holdOff) {
        return true;
    }
    if (!ownership->previousOwner) {
        return false;
    }
    const auto coverage = m_inbox.findCoverage(
        *ownership->previousOwner, ownership->previousFirstRevision, ownership->previousLastRevision);
    if (!coverage) {
        return false;
    }
    return createdAt > coverage->completeAfter && createdAt <= coverageEnd(*coverage, ownership->acquiredAt);
}

WallTime KeyController::coverageEnd(const HandoverCoverage &coverage, WallTime generatedAt) const
{
    // A restarted sender or an earlier incarnation of this instance may have dispatched keys created later.
    return std::min(coverage.snapshotAt + m_parameters.maxClockSkew, generatedAt) + m_parameters.holdOff();
}

WallTime KeyController::effectiveOwnershipStart(WallTime generatedAt) const
{
    // An earlier incarnation of this instance may have acted on a newer list than the first one that this process
    // read. One skew allows for its clock; the other lets its last handover cover all keys up to the hold-off.
    return std::max(generatedAt, m_startedAt + 2 * m_parameters.maxClockSkew);
}

WallTime KeyController::completeAfter() const
{
    WallTime limit = m_table.removedUpTo();
    const auto &periods = m_history.periods();
    for (std::size_t i = 0; i < periods.size(); ++i) {
        if (!isMember(periods[i])) {
            continue;
        }
        const WallTime periodLimit = i == 0
            ? effectiveOwnershipStart(periods[i].firstGeneratedAt) + m_parameters.holdOff()
            : periodCompleteAfter(periods[i - 1], periods[i]);
        limit = std::max(limit, periodLimit);
    }
    return limit;
}

WallTime KeyController::periodCompleteAfter(const OwnershipPeriod &before, const OwnershipPeriod &period) const
{
    const WallTime uncoveredLimit = effectiveOwnershipStart(period.firstGeneratedAt) + m_parameters.holdOff();
    // After a list without instances, the earlier owners of the keys are not known.
    if (period.unseenTimeBefore > Milliseconds(0) || before.members.empty()) {
        return uncoveredLimit;
    }
    const auto senders = isMember(before) ? difference(before.members, period.members) : before.members;
    WallTime limit{};
    for (const std::string &sender : senders) {
        const auto coverage = m_inbox.findCoverage(InstanceId(sender), before.firstRevision, before.lastRevision);
        if (!coverage || coverageEnd(*coverage, period.firstGeneratedAt) < uncoveredLimit) {
            return uncoveredLimit;
        }
        limit = std::max(limit, coverage->completeAfter);
    }
    return limit;
}

bool KeyController::isMember(const OwnershipPeriod &period) const
{
    return std::binary_search(period.members.begin(), period.members.end(), m_self.value());
}

} // namespace magnolia::idempotency
