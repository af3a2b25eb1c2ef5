// Writes log lines to a descriptor and drops them instead of blocking.
#include "framework/logging/internal/boundedsink.h"

#include <algorithm>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace magnolia::logging
{

namespace
{

/** PIPE_BUF on Linux: a writable pipe accepts at least this many bytes without blocking. */
constexpr std::size_t maxNonBlockingWrite = 4096;

} // namespace

BoundedSink::BoundedSink(int fd, SinkBudget budget)
    : m_fd(fd)
    , m_budget(budget)
    , m_availableBytes(budget.burst)
    , m_refilledAt(std::chrono::steady_clock::now())
{
}

std::uint64_t BoundedSink::droppedCount() const
{
    return m_droppedCount;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &msg)
{
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_availableBytes = std::min(m_budget.burst, m_availableBytes + seconds * m_budget.bytesPerSecond);
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    const double minRemainingBytes = msg.level >= spdlog::level::warn ? 0 : m_budget.burst * m_budget.reservedShare;
    bool isAccepted = m_availableBytes - static_cast<double>(line.size()) >= minRemainingBytes;
    if (isAccepted && m_unreportedDrops > 0) {
        const std::string dropNotice
            = "{\"level\":\"warning\",\"module\":\"logging\",\"event\":\"lines_dropped\",\"count\":"
            + std::to_string(m_unreportedDrops) + "}\n";
        if (write(dropNotice.data(), dropNotice.size())) {
            m_unreportedDrops = 0;
        }
    }
    isAccepted = isAccepted && write(line.data(), line.size());
    if (!isAccepted) {
        ++m_droppedCount;
        ++m_unreportedDrops;
    }
}

bool BoundedSink::write(const char *bytes, std::size_t size)
{
    std::size_t written = 0;
    while (written < size) {
        pollfd descriptor{m_fd, POLLOUT, 0};
        // Waits to complete a partly written line, so that the next line does not run into it.
        const int waitMs = written > 0 ? 10 : 0;
        if (::poll(&descriptor, 1, waitMs) != 1 || (descriptor.revents & POLLOUT) == 0) {
            return false;
        }
        const auto n = ::write(m_fd, bytes + written, std::min(maxNonBlockingWrite, size - written));
        if (n <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(n);
        m_availableBytes -= static_cast<double>(n);
    }
    return true;
}

void BoundedSink::flush_()
{
    // Lines are not buffered.
}

} // namespace magnolia::logging
