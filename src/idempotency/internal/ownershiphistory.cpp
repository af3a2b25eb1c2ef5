// Steps of the published list, and the walk back through them that finds the start of an ownership.
#include "idempotency/ownershiphistory.h"

#include "blackboard/activeentries.h"
#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::idempotency
{

namespace
{

constexpr std::size_t maxSteps = 64;

std::optional<InstanceId> ownerAmong(const KeyName &name, const std::vector<std::string> &members)
{
    const auto index = rendezvousOwner(name.hashInput(), members);
    if (!index) {
        return std::nullopt;
    }
    return InstanceId(members[*index]);
}

} // namespace

OwnershipHistory::OwnershipHistory(InstanceId self, KeyParameters parameters)
    : m_self(std::move(self))
    , m_parameters(parameters)
{
}

bool OwnershipHistory::apply(const PublishedList &list, WallTime now)
{
    if (list.revision == 0 || list.generatedAt > now + m_parameters.maxClockSkew) {
        return false;
    }
    const bool isKnown
        = !m_steps.empty() && list.revision == m_steps.back().lastRevision && list.generatedAt == m_stamp;
    if (isKnown) {
        // The common case: each request brings the list that the one before it brought.
        return false;
    }
    std::vector<std::string> members = activeEntries(list);
    if (m_steps.empty()) {
        append(list, std::move(members), Milliseconds(0));
        return true;
    }
    OwnershipPeriod &last = m_steps.back();
    if (list.revision < last.lastRevision || list.generatedAt < m_stamp) {
        return false;
    }
    const bool isSame = members == last.members;
    const bool isNext = list.revision <= last.lastRevision + 1;
    const bool isContradiction = list.revision == last.lastRevision && !isSame;
    if (isSame && (isNext || !m_parameters.safeguards.interruptsAtUnseenRevisions)) {
        last.lastRevision = list.revision;
        m_stamp = list.generatedAt;
        return false;
    }
    Milliseconds unseen{0};
    if (isContradiction) {
        // Two lists of one revision differ, so no earlier list can be relied on.
        unseen = Milliseconds::max() / 4;
    } else if (!isNext) {
        unseen = std::max(Milliseconds(1), list.generatedAt - m_stamp + m_parameters.maxContentLag);
    }
    append(list, std::move(members), unseen);
    return true;
}

void OwnershipHistory::append(const PublishedList &list, std::vector<std::string> members, Milliseconds unseen)
{
    m_steps.push_back({list.revision, list.revision, list.generatedAt, unseen, std::move(members)});
    if (m_steps.size() > maxSteps) {
        m_steps.pop_front();
    }
    m_stamp = list.generatedAt;
}

std::optional<InstanceId> OwnershipHistory::owner(const KeyName &name) const
{
    return m_steps.empty() ? std::nullopt : ownerAmong(name, m_steps.back().members);
}

std::optional<InstanceId> OwnershipHistory::heir(const KeyName &name) const
{
    if (m_steps.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> others = m_steps.back().members;
    std::erase(others, m_self.value());
    return ownerAmong(name, others);
}

std::optional<Ownership> OwnershipHistory::ownership(const KeyName &name, WallTime recent) const
{
    if (owner(name) != m_self) {
        return std::nullopt;
    }
    Milliseconds unseen{0};
    for (std::size_t i = m_steps.size(); i-- > 0;) {
        const OwnershipPeriod &step = m_steps[i];
        unseen += m_parameters.safeguards.interruptsAtUnseenRevisions ? step.unseenTimeBefore : Milliseconds(0);
        if (i == 0 || step.firstGeneratedAt < recent || unseen > m_parameters.maxUnseenTime) {
            return Ownership{step.firstGeneratedAt, std::nullopt, 0, 0};
        }
        const OwnershipPeriod &before = m_steps[i - 1];
        const auto previous = ownerAmong(name, before.members);
        if (previous == m_self) {
            continue;
        }
        const bool isKnown = previous && step.unseenTimeBefore == Milliseconds(0);
        if (!isKnown) {
            return Ownership{step.firstGeneratedAt, std::nullopt, 0, 0};
        }
        return Ownership{step.firstGeneratedAt, previous, before.firstRevision, before.lastRevision};
    }
    return std::nullopt;
}

void OwnershipHistory::forgetBefore(WallTime time)
{
    while (m_steps.size() > 1 && m_steps[1].firstGeneratedAt < time) {
        m_steps.pop_front();
    }
}

} // namespace magnolia::idempotency
