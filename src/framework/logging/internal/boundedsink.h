// Writes lines to a descriptor without ever waiting for its reader, and within a budget.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstdint>
#include <mutex>

namespace magnolia::logging
{

struct SinkBudget
{
    /** Bytes that may be written in a second over a longer time. */
    double bytesPerSecond = 128.0 * 1024;
    /** Bytes that may be written at once. */
    double burst = 512.0 * 1024;
    /** Share of the burst that is kept for warnings and errors. */
    double reserved = 0.25;
};

/** A line that the budget or a full pipe does not take is dropped; the next one that is taken is preceded by their
 * number. */
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(int fd, SinkBudget budget = {});

    [[nodiscard]] std::uint64_t dropped() const;

protected:
    void sink_it_(const spdlog::details::log_msg &msg) override;
    void flush_() override;

private:
    bool write(const char *bytes, std::size_t size);

    int m_fd;
    SinkBudget m_budget;
    double m_balance;
    std::chrono::steady_clock::time_point m_filledAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0;
};

} // namespace magnolia::logging
