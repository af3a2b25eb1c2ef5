// Implements the account.
#include "memory/memoryaccount.h"

#include <algorithm>
#include <cmath>

namespace magnolia::memory
{

namespace
{

double decay(MonoTime from, MonoTime to)
{
    return to > from ? std::exp(-std::chrono::duration<double>(to - from).count()) : 1;
}

} // namespace

MemoryAccount::MemoryAccount(MemoryLimits limits, std::size_t maxStreams)
    : m_limits(limits)
    , m_maxStreams(maxStreams)
{
}

const MemoryLimits &MemoryAccount::limits() const
{
    return m_limits;
}

void MemoryAccount::add(MemoryKind kind, Bytes bytes)
{
    m_held.at(static_cast<std::size_t>(kind)) += bytes;
}

void MemoryAccount::remove(MemoryKind kind, Bytes bytes, MonoTime now)
{
    m_held.at(static_cast<std::size_t>(kind)) -= bytes;
    m_released = m_released * decay(m_releasedAt, now) + static_cast<double>(bytes.count());
    m_releasedAt = std::max(m_releasedAt, now);
}

Bytes MemoryAccount::held(MemoryKind kind) const
{
    return m_held.at(static_cast<std::size_t>(kind));
}

Bytes MemoryAccount::held() const
{
    return m_held[0] + m_held[1];
}

bool MemoryAccount::isShort() const
{
    return m_limits.isLimited() && held() >= m_limits.shortage;
}

std::size_t MemoryAccount::streamLimit() const
{
    return memory::streamLimit(m_limits, held(), m_maxStreams);
}

double MemoryAccount::releaseRate(MonoTime now) const
{
    return m_released * decay(m_releasedAt, now);
}

} // namespace magnolia::memory
