// Implements the table of upstreams that have asked for fewer requests.
#include "limits/pressuretable.h"

#include <algorithm>

namespace magnolia::limits
{

PressureTable::PressureTable(PressureParameters parameters)
    : m_parameters(parameters)
{
}

PressureTable::Record &PressureTable::recordOf(std::uint64_t upstream, std::uint64_t startedAt)
{
    Record &record = m_records[upstream];
    if (record.startedAt != startedAt) {
        record = {};
        record.startedAt = startedAt;
    }
    return record;
}

void PressureTable::pause(std::uint64_t upstream, std::uint64_t startedAt, Milliseconds delay, MonoTime now)
{
    Record &record = recordOf(upstream, startedAt);
    record.pausedUntil = std::max(record.pausedUntil, now + delay);
}

bool PressureTable::setLimit(
    std::uint64_t upstream, std::uint64_t startedAt, std::optional<double> requestsPerSecond, MonoTime now)
{
    if (requestsPerSecond) {
        requestsPerSecond = std::max(*requestsPerSecond, m_parameters.minRate);
    }
    if (limit(upstream, startedAt) == requestsPerSecond) {
        return false;
    }
    Record &record = recordOf(upstream, startedAt);
    if (!record.requestsPerSecond) {
        record.tokens = 1;
        record.filledAt = now;
    }
    record.requestsPerSecond = requestsPerSecond;
    return true;
}

std::optional<double> PressureTable::limit(std::uint64_t upstream, std::uint64_t startedAt) const
{
    const auto it = m_records.find(upstream);
    const bool isKnown = it != m_records.end() && it->second.startedAt == startedAt;
    return isKnown ? it->second.requestsPerSecond : std::nullopt;
}

double PressureTable::tokensAt(const Record &record, double rate, MonoTime now) const
{
    const double burst = std::max(1.0, rate * std::chrono::duration<double>(m_parameters.burstTime).count());
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - record.filledAt).count());
    return std::min(burst, record.tokens + rate * elapsed);
}

void PressureTable::recordRequest(std::uint64_t upstream, double share, MonoTime now)
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end() || !it->second.requestsPerSecond) {
        return;
    }
    Record &record = it->second;
    record.tokens = tokensAt(record, *record.requestsPerSecond * share, now) - 1;
    record.filledAt = std::max(record.filledAt, now);
}

MonoTime PressureTable::availableAt(std::uint64_t upstream, std::uint64_t startedAt, double share, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end() || it->second.startedAt != startedAt) {
        return now;
    }
    const Record &record = it->second;
    MonoTime at = std::max(now, record.pausedUntil);
    if (record.requestsPerSecond) {
        const double rate = *record.requestsPerSecond * share;
        const double missing = 1 - tokensAt(record, rate, now);
        if (missing > 0) {
            const std::chrono::duration<double> wait(missing / rate);
            at = std::max(at, now + std::chrono::ceil<Milliseconds>(wait));
        }
    }
    return at;
}

MonoTime PressureTable::pausedUntil(std::uint64_t upstream, std::uint64_t startedAt) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() || it->second.startedAt != startedAt ? MonoTime{} : it->second.pausedUntil;
}

void PressureTable::retain(const std::function<bool(std::uint64_t)> &isKnown, MonoTime now)
{
    for (auto &[upstream, record] : m_records) {
        record.unknownSince = isKnown(upstream) ? std::nullopt : std::optional(record.unknownSince.value_or(now));
    }
    std::erase_if(m_records, [&](const auto &it) {
        const std::optional<MonoTime> &unknownSince = it.second.unknownSince;
        return unknownSince && now - *unknownSince >= m_parameters.forgetAfter;
    });
}

std::size_t PressureTable::size() const
{
    return m_records.size();
}

} // namespace magnolia::limits
