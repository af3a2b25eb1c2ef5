// Implements the table of upstreams that have asked for fewer requests.
#include "limits/pressuretable.h"

#include <algorithm>

namespace magnolia::limits
{

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

MonoTime PressureTable::availableAt(std::uint64_t upstream, std::uint64_t startedAt, MonoTime now) const
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end() || it->second.startedAt != startedAt) {
        return now;
    }
    return std::max(now, it->second.pausedUntil);
}

void PressureTable::retain(const std::function<bool(std::uint64_t)> &isKnown)
{
    std::erase_if(m_records, [&](const auto &it) {
        return !isKnown(it.first);
    });
}

} // namespace magnolia::limits
