// Log sink that writes to a descriptor within a byte budget and never blocks on the reader.
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
    /** Sustained write rate in bytes per second. */
    double bytesPerSecond = 128.0 * 1024;
    /** Maximum burst in bytes. */
    double burst = 512.0 * 1024;
    /** Share of the burst that is reserved for warnings and errors. */
    double reservedShare = 0.25;
};

/** Drops lines that exceed the budget or do not fit into a full pipe. The next line that is written is preceded by the
 * number of dropped lines. */
class BoundedSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(int fd, SinkBudget budget = {});

    [[nodiscard]] std::uint64_t droppedCount() const;

protected:
    void sink_it_(const spdlog::details::log_msg &msg) override;
    void flush_() override;

private:
    bool write(const char *bytes, std::size_t size);

    int m_fd;
    SinkBudget m_budget;
    double m_availableBytes;
    std::chrono::steady_clock::time_point m_refilledAt;
    std::uint64_t m_droppedCount = 0;
    std::uint64_t m_unreportedDrops = 0;
};

} // namespace magnolia::logging
