// Logged runs on the engine model.
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

std::string placed(int timeMs, const std::string &id, int tokens, const std::string &helpers = "[]")
{
    return R"({"time_ms":)" + std::to_string(timeMs)
        + R"(,"instance":"a","module":"gateway","event":"placed","verdict":"send","upstream":"e1","request":")" + id
        + R"(","prompt_tokens":)" + std::to_string(tokens) + R"(,"helpers":)" + helpers + "}\n";
}

std::string ended(int timeMs, const std::string &id, int firstMs, int events)
{
    return R"({"time_ms":)" + std::to_string(timeMs)
        + R"(,"instance":"a","module":"gateway","event":"ended","outcome":"served","sends":1,"request":")" + id
        + R"(","first_ms":)" + std::to_string(firstMs) + R"(,"events":)" + std::to_string(events) + "}\n";
}

} // namespace

TEST_CASE("requests are read from the lines of a log, whatever stands around them")
{
    std::istringstream log("12.5 front-1 " + placed(1000, "r1", 5000) + "no line\n{\"cut\": \n"
        + placed(1010, "r2", 40'000, R"(["e2"])") + ended(1090, "r1", 62, 3) + placed(1100, "open", 10));
    const auto requests = readRecorded(log);
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].engine == "e1");
    CHECK(requests[0].endMs == 90);
    CHECK(requests[0].isPlain);
}

TEST_CASE("the model is held against what was measured, scene by scene")
{
    // 53 ms until it is read, then passes of 10 ms; and 2 ms of way.
    std::istringstream log(placed(1000, "r1", 5000) + ended(1075, "r1", 55, 3) + placed(2000, "r2", 40'000, R"(["e2"])")
        + ended(2212, "r2", 212, 1));
    const auto scenes = replayRecorded(makeModel(), readRecorded(log), 2);
    REQUIRE(scenes.contains("short, alone"));
    CHECK(scenes.at("short, alone").firstDifference == Approx(0).margin(1e-6));
    CHECK(scenes.at("short, alone").totalDifference == Approx(0).margin(1e-6));
    REQUIRE(scenes.contains("long, by 2 to 4 engines"));
    CHECK(scenes.at("long, by 2 to 4 engines").modelledFirstMs == Approx(212));
}
