// Tests that logged requests are read and replayed on the engine model.
#include "recordedrun.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace magnolia;
using namespace magnolia::bench;

namespace
{

catalogue::EngineModel makeModel()
{
    catalogue::EngineModel model;
    model.slots = 4;
    model.kvCapacityTokens = 100'000;
    model.stepsPerPass = 10;
    model.stepMs = 1;
    model.prefillTokensPerMs = 100;
    model.chunkTokens = 2000;
    return model;
}

std::string placedLine(int timeMs, const std::string &id, int tokens, const std::string &helpers = "[]")
{
    return R"({"time_ms":)" + std::to_string(timeMs)
        + R"(,"instance":"a","module":"gateway","event":"placed","verdict":"send","upstream":"e1","request":")" + id
        + R"(","prompt_tokens":)" + std::to_string(tokens) + R"(,"helpers":)" + helpers + "}\n";
}

std::string endedLine(int timeMs, const std::string &id, int firstEventMs, int eventCount)
{
    return R"({"time_ms":)" + std::to_string(timeMs)
        + R"(,"instance":"a","module":"gateway","event":"ended","outcome":"served","sends":1,"request":")" + id
        + R"(","first_ms":)" + std::to_string(firstEventMs) + R"(,"events":)" + std::to_string(eventCount) + "}\n";
}

} // namespace

TEST_CASE("requests are read from log lines with prefixes and between other lines")
{
    std::istringstream log("12.5 front-1 " + placedLine(1000, "r1", 5000) + "no line\n{\"cut\": \n"
        + placedLine(1010, "r2", 40'000, R"(["e2"])") + endedLine(1090, "r1", 62, 3) + placedLine(1100, "open", 10));
    const auto requests = readRecordedRequests(log);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].primary == "e1");
    CHECK(requests[0].endMs == 90);
    CHECK(requests[0].isServedAtFirstAttempt);
}

TEST_CASE("the replay compares modelled with measured times by category")
{
    // 53 ms of prefill, then passes of 10 ms, and 2 ms of network round trip.
    std::istringstream log(placedLine(1000, "r1", 5000) + endedLine(1075, "r1", 55, 3)
        + placedLine(2000, "r2", 40'000, R"(["e2"])") + endedLine(2212, "r2", 212, 1));
    const auto summaries = replayRequests(makeModel(), readRecordedRequests(log), 2);
    REQUIRE(summaries.contains("short, alone"));
    CHECK(summaries.at("short, alone").firstEventRelativeError == Approx(0).margin(1e-6));
    CHECK(summaries.at("short, alone").totalRelativeError == Approx(0).margin(1e-6));
    REQUIRE(summaries.contains("long, by 2 to 4 engines"));
    CHECK(summaries.at("long, by 2 to 4 engines").modelledFirstEventMs == Approx(212));
}
