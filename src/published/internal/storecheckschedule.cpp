// Implements the schedule of store checks.
#include "published/storecheckschedule.h"

#include <algorithm>

namespace magnolia::published
{

StoreCheckSchedule::StoreCheckSchedule(StoreCheckParameters parameters)
    : m_parameters(parameters)
{
}

bool StoreCheckSchedule::onConfirmed(MonoTime at, std::size_t instances, Random &random)
{
    if (at <= m_confirmedAt) {
        return false;
    }
    const bool wasSilent = m_confirmedAt != MonoTime{} && at - m_confirmedAt > m_parameters.silenceLimit;
    m_confirmedAt = at;
    m_dueAt = at + m_parameters.interval + randomSpread(instances, random);
    return wasSilent;
}

void StoreCheckSchedule::onNotConfirmed(MonoTime now, std::size_t instances, Random &random)
{
    m_dueAt = now + m_parameters.retryDelay + randomSpread(instances, random);
}

MonoTime StoreCheckSchedule::dueAt() const
{
    return m_dueAt;
}

MonoTime StoreCheckSchedule::confirmedAt() const
{
    return m_confirmedAt;
}

bool StoreCheckSchedule::isSilent(MonoTime now) const
{
    return now - m_confirmedAt > m_parameters.silenceLimit;
}

Milliseconds StoreCheckSchedule::randomSpread(std::size_t instances, Random &random) const
{
    const Milliseconds spread
        = std::max(m_parameters.minSpread, m_parameters.spreadPerInstance * static_cast<std::int64_t>(instances));
    return Milliseconds(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(spread.count()) + 1)));
}

} // namespace magnolia::published
