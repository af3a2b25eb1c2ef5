// Exclusion of upstreams by attempt outcomes.
#include "outliers/outliertable.h"

#include <algorithm>
#include <cmath>

namespace magnolia::outliers
{

namespace
{

constexpr double maxSlowdown = 6;
/** Weight of one measurement in the exponential moving average. */
constexpr double slowdownWeight = 0.2;

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
    const double factor = std::exp2(-std::max(0.0, secondsBetween(record.decayedAt, now)) / halfLife);
    record.succeeded *= factor;
    record.failed *= factor;
    record.decayedAt = now;
}

void OutlierTable::exclude(Record &record, MonoTime now) const
{
    if (now < record.excludedUntil) {
        return;
    }
    const bool isReset = record.hasRecovered && now - record.excludedUntil > m_parameters.resetAfter;
    if (record.nextExclusion.count() == 0 || isReset) {
        record.nextExclusion = m_parameters.initialExclusion;
    }
    record.excludedUntil = now + record.nextExclusion;
    record.nextExclusion = std::min(record.nextExclusion * 2, m_parameters.maxExclusion);
    record.hasRecovered = false;
    record.succeeded = 0;
    record.failed = 0;
}

void OutlierTable::recordOutcome(
    std::uint64_t upstream, AttemptOutcome outcome, double serviceFailureShare, MonoTime now)
{
    Record &record = m_records[upstream];
    decay(record, now);
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        record.succeeded += 1;
        if (now >= record.excludedUntil) {
            record.hasRecovered = true;
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
    const double share = record.failed / (record.failed + record.succeeded);
    const double maxShare
        = std::max(m_parameters.maxFailureShare, serviceFailureShare * m_parameters.maxServiceShareFactor);
    const bool isOnTrial = !record.hasRecovered && now >= record.excludedUntil;
    if (isOnTrial || (record.failed >= m_parameters.minFailures && share > maxShare)) {
        exclude(record, now);
    }
}

void OutlierTable::recordSlowdown(std::uint64_t upstream, double ratio)
{
    Record &record = m_records[upstream];
    record.slowdown += slowdownWeight * (std::clamp(ratio, 1.0, maxSlowdown) - record.slowdown);
}

void OutlierTable::forget(std::uint64_t upstream)
{
    m_records.erase(upstream);
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
    return it != m_records.end() && !it->second.hasRecovered && now >= it->second.excludedUntil;
}

double OutlierTable::failureShare(std::uint64_t upstream, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end()) {
        return 0;
    }
    Record record = it->second;
    decay(record, now);
    const double total = record.succeeded + record.failed;
    constexpr double minTotal = 0.5;
    return total < minTotal ? 0 : record.failed / total;
}

double OutlierTable::slowdown(std::uint64_t upstream) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() ? 1 : it->second.slowdown;
}

} // namespace magnolia::outliers
