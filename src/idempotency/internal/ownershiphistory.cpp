// Records periods of the published list and searches them backwards for the start of an ownership.
#include "idempotency/ownershiphistory.h"

#include "blackboard/activeentries.h"
#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::idempotency
{

namespace
{

constexpr std::size_t maxPeriods = 64;

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
    const bool isKnown = !m_periods.empty() && list.revision == m_periods.back().lastRevision
        && list.generatedAt == m_latestGeneratedAt;
    if (isKnown) {
        // Fast path: each request applies the current list, which rarely changes in between.
        return false;
    }
    std::vector<std::string> members = activeEntries(list);
    if (m_periods.empty()) {
        append(list, std::move(members), Milliseconds(0));
        return true;
    }
    OwnershipPeriod &last = m_periods.back();
    if (list.revision < last.lastRevision || list.generatedAt < m_latestGeneratedAt) {
        return false;
    }
    const bool isSame = members == last.members;
    const bool isNext = list.revision <= last.lastRevision + 1;
    const bool isContradiction = list.revision == last.lastRevision && !isSame;
    if (isSame && (isNext || !m_parameters.safeguards.interruptsAtUnseenRevisions)) {
        last.lastRevision = list.revision;
        m_latestGeneratedAt = list.generatedAt;
        return false;
    }
    Milliseconds unseenTime{0};
    if (isContradiction) {
        // Two lists with the same revision differ, so no earlier list is reliable.
        unseenTime = Milliseconds::max() / 4;
    } else if (!isNext) {
        unseenTime = std::max(Milliseconds(1), list.generatedAt - m_latestGeneratedAt + m_parameters.maxContentLag);
    }
    append(list, std::move(members), unseenTime);
    return true;
}

void OwnershipHistory::append(const PublishedList &list, std::vector<std::string> members, Milliseconds unseenTime)
{
    m_periods.push_back({list.revision, list.revision, list.generatedAt, unseenTime, std::move(members)});
    if (m_periods.size() > maxPeriods) {
        m_periods.pop_front();
    }
    m_latestGeneratedAt = list.generatedAt;
}

std::optional<InstanceId> OwnershipHistory::owner(const KeyName &name) const
{
    return m_periods.empty() ? std::nullopt : ownerAmong(name, m_periods.back().members);
}

std::optional<InstanceId> OwnershipHistory::ownerWithoutSelf(const KeyName &name) const
{
    if (m_periods.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> others = m_periods.back().members;
    std::erase(others, m_self.value());
    return ownerAmong(name, others);
}

std::optional<Ownership> OwnershipHistory::ownership(const KeyName &name, WallTime searchLimit) const
{
    if (owner(name) != m_self) {
        return std::nullopt;
    }
    Milliseconds unseenTime{0};
    for (std::size_t i = m_periods.size(); i-- > 0;) {
        const OwnershipPeriod &period = m_periods[i];
        unseenTime += m_parameters.safeguards.interruptsAtUnseenRevisions ? period.unseenTimeBefore : Milliseconds(0);
        if (i == 0 || period.firstGeneratedAt < searchLimit || unseenTime > m_parameters.maxUnseenTime) {
            return Ownership{period.firstGeneratedAt, std::nullopt, 0, 0};
        }
        const OwnershipPeriod &before = m_periods[i - 1];
        const auto previous = ownerAmong(name, before.members);
        if (previous == m_self) {
            continue;
        }
        const bool isKnown = previous && period.unseenTimeBefore == Milliseconds(0);
        if (!isKnown) {
            return Ownership{period.firstGeneratedAt, std::nullopt, 0, 0};
        }
        return Ownership{period.firstGeneratedAt, previous, before.firstRevision, before.lastRevision};
    }
    return std::nullopt;
}

void OwnershipHistory::removeBefore(WallTime time)
{
    while (m_periods.size() > 1 && m_periods[1].firstGeneratedAt < time) {
        m_periods.pop_front();
    }
}

} // namespace magnolia::idempotency
