// Exclusion of upstreams by evidence.
#include "outliers/outliertable.h"

#include <algorithm>
#include <cmath>

namespace magnolia::outliers
{

namespace
{

constexpr double slowestPace = 6;
/** Weight of one measured slowdown in the mean. */
constexpr double paceWeight = 0.2;

double secondsBetween(MonoTime from, MonoTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

OutlierTable::OutlierTable(OutlierParameters parameters)
    : m_parameters(parameters)
{
}

void OutlierTable::decay(Record &record, MonoTime now) const
{
    const double halfLife = std::chrono::duration<double>(m_parameters.halfLife).count();
    const double factor = std::exp2(-std::max(0.0, secondsBetween(record.weighedAt, now)) / halfLife);
    record.good *= factor;
    record.failed *= factor;
    record.weighedAt = now;
}

void OutlierTable::exclude(Record &record, MonoTime now) const
{
    if (now < record.excludedUntil) {
        return;
    }
    const bool isForgiven = record.hasReturned && now - record.excludedUntil > m_parameters.resetAfter;
    if (record.nextExclusion.count() == 0 || isForgiven) {
        record.nextExclusion = m_parameters.initialExclusion;
    }
    record.excludedUntil = now + record.nextExclusion;
    record.nextExclusion = std::min(record.nextExclusion * 2, m_parameters.maxExclusion);
    record.hasReturned = false;
    record.good = 0;
    record.failed = 0;
}

void OutlierTable::recordOutcome(std::uint64_t upstream, AttemptOutcome evidence, double fellowsShare, MonoTime now)
{
    Record &record = m_records[upstream];
    decay(record, now);
    switch (evidence) {
    case AttemptOutcome::Succeeded:
        record.good += 1;
        if (now >= record.excludedUntil) {
            record.hasReturned = true;
        }
        return;
    case AttemptOutcome::Refused:
        return;
    case AttemptOutcome::Unreachable:
        exclude(record, now);
        return;
    case AttemptOutcome::Failed:
        break;
    }
    record.failed += 1;
    const double share = record.failed / (record.failed + record.good);
    const double limit = std::max(m_parameters.maxFailureShare, fellowsShare * m_parameters.maxServiceShareFactor);
    const bool isOnTrial = !record.hasReturned && now >= record.excludedUntil;
    if (isOnTrial || (record.failed >= m_parameters.minFailures && share > limit)) {
        exclude(record, now);
    }
}

void OutlierTable::recordSlowdown(std::uint64_t upstream, double ratio)
{
    Record &record = m_records[upstream];
    record.slowdown += paceWeight * (std::clamp(ratio, 1.0, slowestPace) - record.slowdown);
}

void OutlierTable::retain(const std::function<bool(std::uint64_t upstream)> &isKnown)
{
    std::erase_if(m_records, [&](const auto &it) {
        return !isKnown(it.first);
    });
}

bool OutlierTable::isExcluded(std::uint64_t upstream, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    return it != m_records.end() && now < it->second.excludedUntil;
}

bool OutlierTable::isOnTrial(std::uint64_t upstream, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    return it != m_records.end() && !it->second.hasReturned && now >= it->second.excludedUntil;
}

double OutlierTable::failureShare(std::uint64_t upstream, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end()) {
        return 0;
    }
    Record record = it->second;
    decay(record, now);
    const double all = record.good + record.failed;
    constexpr double leastEvidence = 0.5;
    return all < leastEvidence ? 0 : record.failed / all;
}

double OutlierTable::slowdown(std::uint64_t upstream) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() ? 1 : it->second.slowdown;
}

} // namespace magnolia::outliers
