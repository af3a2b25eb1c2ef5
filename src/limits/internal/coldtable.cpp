// Implements the table of cold upstreams.
#include "limits/coldtable.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

/** Requests that are remembered per upstream; more than any budget that a cold upstream has. */
constexpr std::size_t maxRememberedRequests = 4096;

void prune(std::deque<MonoTime> &times, MonoTime now)
{
    while (!times.empty() && (now - times.front() >= coldWindow || times.size() > maxRememberedRequests)) {
        times.pop_front();
    }
}

/** Returns the time from which fewer than `count` of `times`, which ascend, lie within the window. */
MonoTime freeAt(const std::deque<MonoTime> &times, std::size_t count, MonoTime now)
{
    return times.size() < count ? now : std::max(now, times[times.size() - count] + coldWindow);
}

} // namespace

ColdTable::ColdTable(MonoTime startedAt, ColdParameters parameters)
    : m_startedAt(startedAt)
    , m_parameters(parameters)
{
}

ColdTable::Record *ColdTable::recordOf(std::uint64_t upstream, std::uint64_t startedAt)
{
    Record &record = m_records[upstream];
    if (record.startedAt > startedAt) {
        return nullptr;
    }
    if (record.startedAt < startedAt) {
        record = {};
        record.startedAt = startedAt;
    }
    return &record;
}

const ColdTable::Record *ColdTable::find(std::uint64_t upstream, std::uint64_t startedAt) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() || it->second.startedAt != startedAt ? nullptr : &it->second;
}

bool ColdTable::markCold(
    std::uint64_t upstream, std::uint64_t startedAt, Milliseconds remaining, bool isOwnEvidence, MonoTime now)
{
    Record *record = recordOf(upstream, startedAt);
    if (record == nullptr || remaining <= Milliseconds{0}) {
        return false;
    }
    const MonoTime until = now + std::min(remaining, m_parameters.maxColdTime);
    const bool isNew = record->coldUntil <= now;
    record->coldUntil = std::max(record->coldUntil, until);
    if (isOwnEvidence) {
        record->ownColdUntil = std::max(record->ownColdUntil, until);
    }
    record->isReportDue = true;
    return isNew;
}

void ColdTable::markUnreachable(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now)
{
    if (Record *record = recordOf(upstream, startedAt)) {
        record->unreachableUntil = now + m_parameters.unreachableTime;
    }
}

bool ColdTable::clearUnreachable(std::uint64_t upstream, std::uint64_t startedAt)
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end() || it->second.startedAt != startedAt) {
        return false;
    }
    const bool wasUnreachable = it->second.unreachableUntil != MonoTime{};
    it->second.unreachableUntil = {};
    return wasUnreachable;
}

bool ColdTable::isCold(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const
{
    return coldTimeLeft(upstream, startedAt, now) > Milliseconds{0};
}

Milliseconds ColdTable::coldTimeLeft(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const
{
    const Record *record = find(upstream, startedAt);
    if (record == nullptr) {
        return Milliseconds{0};
    }
    const MonoTime until = std::max(record->coldUntil, record->unreachableUntil);
    return until <= now ? Milliseconds{0} : std::chrono::ceil<Milliseconds>(until - now);
}

void ColdTable::recordRequest(std::uint64_t upstream, MonoTime now)
{
    Requests &requests = m_requests[upstream];
    prune(requests.own, now);
    requests.own.push_back(now);
    recordPeerRequest(upstream, now);
}

void ColdTable::recordPeerRequest(std::uint64_t upstream, MonoTime now)
{
    std::deque<MonoTime> &all = m_requests[upstream].all;
    prune(all, now);
    all.push_back(now);
}

MonoTime ColdTable::availableAt(
    std::uint64_t upstream, std::uint64_t startedAt, std::size_t part, const ColdBudget &budget, MonoTime now) const
{
    const Milliseconds coldTime = coldTimeLeft(upstream, startedAt, now);
    if (coldTime <= Milliseconds{0}) {
        return now;
    }
    const MonoTime warmAt = now + coldTime;
    if (part == 0) {
        return warmAt;
    }
    MonoTime at = std::max(now, m_startedAt + coldWindow);
    if (const auto it = m_requests.find(upstream); it != m_requests.end()) {
        at = std::max(at, freeAt(it->second.own, part, now));
        at = std::max(at, freeAt(it->second.all, budget.maxUsers, now));
    }
    return std::min(at, warmAt);
}

std::vector<ColdRun> ColdTable::ownEvidence(MonoTime now) const
{
    std::vector<ColdRun> runs;
    for (const auto &[upstream, record] : m_records) {
        if (record.ownColdUntil > now) {
            runs.push_back({upstream, record.startedAt, record.ownColdUntil});
        }
    }
    return runs;
}

std::size_t ColdTable::coldCount(MonoTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [now](const auto &it) {
        return it.second.coldUntil > now || it.second.unreachableUntil > now;
    }));
}

std::vector<ColdRun> ColdTable::expire(MonoTime now)
{
    std::vector<ColdRun> warm;
    std::erase_if(m_records, [&](const auto &it) {
        const Record &record = it.second;
        if (record.coldUntil > now || record.unreachableUntil > now) {
            return false;
        }
        if (record.isReportDue) {
            warm.push_back({it.first, record.startedAt, record.coldUntil});
        }
        return true;
    });
    for (auto &[upstream, requests] : m_requests) {
        prune(requests.own, now);
        prune(requests.all, now);
    }
    std::erase_if(m_requests, [](const auto &it) {
        return it.second.all.empty();
    });
    return warm;
}

} // namespace magnolia::limits
