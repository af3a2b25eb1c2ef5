// The log never waits for its reader and stays within its budget.
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

TEST_CASE("a reader that stops reading never blocks the writer, and hears how much it missed")
{
    const Pipe pipe;
    const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], unlimited());
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    constexpr int lines = 3000;
    for (int i = 0; i < lines; ++i) {
        logger.info(std::string(100, 'x'));
    }
    CHECK(sink->dropped() > 0);
    CHECK(sink->dropped() < lines);
    static_cast<void>(pipe.drain());
    logger.info("after");
    const std::string text = pipe.drain();
    CHECK(text.find("\"event\":\"lines_dropped\",\"count\":" + std::to_string(sink->dropped())) != std::string::npos);
    CHECK(text.ends_with("after\n"));
}

TEST_CASE("beyond the budget, warnings are kept longer than other lines")
{
    const Pipe pipe;
    const auto sink = std::make_shared<BoundedSink>(pipe.ends[1], SinkBudget{0, 4000, 0.5});
    spdlog::logger logger("test", sink);
    logger.set_pattern("%v");
    for (int i = 0; i < 50; ++i) {
        logger.info(std::string(99, 'i'));
    }
    CHECK(sink->dropped() == 30);
    logger.warn("kept");
    CHECK(pipe.drain().ends_with("kept\n"));
}
