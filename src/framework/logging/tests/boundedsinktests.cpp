// The log sink never blocks on its reader and keeps to its budget.
#include "framework/logging/internal/boundedsink.h"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace magnolia::logging;

namespace
{

struct Pipe
{
    Pipe()
    {
        REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    std::string drain() const
    {
        std::string text;
        std::array<char, 4096> buf{};
        while (true) {
            const auto n = ::read(ends[0], buf.data(), buf.size());
            if (n <= 0) {
                return text;
            }
            text.append(buf.data(), static_cast<std::size_t>(n));
        }
    }

    std::array<int, 2> ends{};
};

SinkBudget unlimited()
{
    return {1e12, 1e12, 0.25};
}

} // namespace

TEST_CASE("a stalled reader never blocks the log, and later reads the number of dropped lines")
{
    const Pipe pipe;
    const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], unlimited());
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    constexpr int lineCount = 3000;
    for (int i = 0; i < lineCount; ++i) {
        logger.info(std::string(100, 'x'));
    }
    CHECK(sink->droppedCount() > 0);
    CHECK(sink->droppedCount() < lineCount);
    static_cast<void>(pipe.drain());
    logger.info("after");
    const std::string text = pipe.drain();
    CHECK(text.find("\"event\":\"lines_dropped\",\"count\":" + std::to_string(sink->droppedCount()))
        != std::string::npos);
    CHECK(text.ends_with("after\n"));
}

TEST_CASE("the reserved share of the budget is only used by warnings and errors")
{
    const Pipe pipe;
    const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], SinkBudget{0, 4000, 0.5});
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    for (int i = 0; i < 50; ++i) {
        logger.info(std::string(99, 'i'));
    }
    CHECK(sink->droppedCount() == 30);
    logger.warn("kept");
    CHECK(pipe.drain().ends_with("kept\n"));
}
