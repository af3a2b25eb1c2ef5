// Computes the times and texts of the tokens of a stream.
#include "standin/heldstream.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <array>

namespace magnolia::standin
{

namespace
{

MonoTime monotonicNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

void HeldStream::startDecode(MonoTime firstTokenAt, Milliseconds interval)
{
    const std::lock_guard lock(m_mutex);
    m_firstTokenAt = firstTokenAt;
    m_interval = interval;
    m_changed.notify_all();
}

void HeldStream::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_isCancelled = true;
    m_changed.notify_all();
}

bool HeldStream::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCancelled;
}

bool HeldStream::hasStartedDecode() const
{
    const std::lock_guard lock(m_mutex);
    return m_firstTokenAt.has_value();
}

bool HeldStream::isFinished(MonoTime now) const
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t last = m_request.endIndex == 0 ? 0 : m_request.endIndex - 1;
    return m_firstTokenAt && tokenAvailableAt(last) <= now;
}

bool HeldStream::waitForToken(std::uint64_t index)
{
    std::unique_lock lock(m_mutex);
    while (!m_isCancelled) {
        if (!m_firstTokenAt) {
            m_changed.wait(lock);
            continue;
        }
        const MonoTime time = tokenAvailableAt(index);
        if (time <= monotonicNow()) {
            return true;
        }
        m_changed.wait_until(lock, time);
    }
    return false;
}

MonoTime HeldStream::tokenAvailableAt(std::uint64_t index) const
{
    const std::uint64_t intervals = index > m_request.firstIndex ? index - m_request.firstIndex : 0;
    return *m_firstTokenAt + m_interval * intervals;
}

std::string tokenText(std::uint64_t promptHash, std::uint64_t index)
{
    static constexpr std::array syllables{
        "ma", "ri", "lo", "ten", "sa", "ko", "vi", "dru", "pe", "na", "ush", "el", "or", "mi", "ta", "bel"};
    const std::string key = std::to_string(promptHash) + ":" + std::to_string(index);
    std::uint64_t bits = stableHash(key);
    std::string text = " ";
    for (int i = 0; i < 2; ++i) {
        text += syllables[bits % syllables.size()];
        bits /= syllables.size();
    }
    return text;
}

} // namespace magnolia::standin
