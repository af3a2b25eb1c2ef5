// Implements the schedule of the first reads of the store.
#include "published/startupreadschedule.h"

#include <algorithm>

namespace magnolia::published
{

namespace
{

MonoTime::duration scaled(Milliseconds time, double factor)
{
    return std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double, std::milli>(time) * factor);
}

} // namespace

StartupReadSchedule::StartupReadSchedule(StartupReadParameters parameters)
    : m_parameters(parameters)
{
}

void StartupReadSchedule::onAttempt(MonoTime now, Random &random)
{
    // Instances that lose power together start together. A uniform first interval gives the fleet an even rate from
    // the start; later intervals stay near the mean, so that no instance waits for long.
    m_intervalFactor = m_hasAttempted ? 0.5 + random.unit() : random.unit();
    m_hasAttempted = true;
    m_attemptedAt = now;
    m_hasNews = false;
}

bool StartupReadSchedule::onPeerAnswered(MonoTime at, MonoTime now, Random &random)
{
    const bool wasAnswering = isAnsweringPeers(now);
    m_peerAnsweredAt = std::max(m_peerAnsweredAt, at);
    if (wasAnswering || !isAnsweringPeers(now) || at <= m_attemptedAt) {
        return false;
    }
    m_hasNews = true;
    m_newsAt = now;
    m_newsFactor = random.unit();
    return true;
}

MonoTime StartupReadSchedule::dueAt(std::size_t instances, MonoTime now) const
{
    if (!m_hasAttempted) {
        return now;
    }
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, instances));
    // The shorter interval is for attempts after the news. Before, it would make most instances due at once.
    const bool isShort = isAnsweringPeers(now) && !m_hasNews;
    const Milliseconds fleetInterval = isShort ? m_parameters.answeringFleetInterval : m_parameters.fleetInterval;
    const auto interval = scaled(std::max(m_parameters.minInterval, fleetInterval * count), m_intervalFactor);
    const MonoTime due = m_attemptedAt + std::max<MonoTime::duration>(m_parameters.minGap, interval);
    if (!m_hasNews) {
        return due;
    }
    return std::min(due, m_newsAt + scaled(m_parameters.answeringSpread * count, m_newsFactor));
}

bool StartupReadSchedule::isAnsweringPeers(MonoTime now) const
{
    return m_peerAnsweredAt != MonoTime{} && now - m_peerAnsweredAt <= m_parameters.answeringTime;
}

} // namespace magnolia::published
