// Lines to a descriptor, dropped rather than waited for.
#include "framework/logging/internal/boundedsink.h"

#include <algorithm>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace magnolia::logging
{

namespace
{

/** POSIX: a pipe that is writable takes at least so many bytes without waiting. */
constexpr std::size_t atomicSize = 4096;

} // namespace

BoundedSink::BoundedSink(int fd, SinkBudget budget)
    : m_fd(fd)
    , m_budget(budget)
    , m_balance(budget.burst)
    , m_filledAt(std::chrono::steady_clock::now())
{
}

std::uint64_t BoundedSink::dropped() const
{
    return m_dropped;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &msg)
{
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - m_filledAt).count();
    m_filledAt = now;
    m_balance = std::min(m_budget.burst, m_balance + seconds * m_budget.bytesPerSecond);
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    const double floor = msg.level >= spdlog::level::warn ? 0 : m_budget.burst * m_budget.reserved;
    bool isTaken = m_balance - static_cast<double>(line.size()) >= floor;
    if (isTaken && m_untold > 0) {
        const std::string told = "{\"level\":\"warning\",\"module\":\"logging\",\"event\":\"lines_dropped\",\"count\":"
            + std::to_string(m_untold) + "}\n";
        if (write(told.data(), told.size())) {
            m_untold = 0;
        }
    }
    isTaken = isTaken && write(line.data(), line.size());
    if (!isTaken) {
        ++m_dropped;
        ++m_untold;
    }
}

bool BoundedSink::write(const char *bytes, std::size_t size)
{
    std::size_t written = 0;
    while (written < size) {
        pollfd descriptor{m_fd, POLLOUT, 0};
        // A line that has begun is ended, so that the next one does not run into it.
        const int wait = written > 0 ? 10 : 0;
        if (::poll(&descriptor, 1, wait) != 1 || (descriptor.revents & POLLOUT) == 0) {
            return false;
        }
        const auto n = ::write(m_fd, bytes + written, std::min(atomicSize, size - written));
        if (n <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(n);
        m_balance -= static_cast<double>(n);
    }
    return true;
}

void BoundedSink::flush_()
{
    // Each line is written as it comes.
}

} // namespace magnolia::logging
