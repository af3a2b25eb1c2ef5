// Tests the parsing of workloads and the rates and reproducibility of their arrivals.
#include "workload.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace magnolia;
using namespace magnolia::bench;

namespace
{

const std::string smallWorkload = R"({
    // comments are allowed
    "name": "w", "engines": 2, "engine": {"slots": 4},
    "classes": [{"name": "a", "perSecond": 50, "promptTokens": {"mean": 100, "spread": 0.5},
                 "outputTokens": {"mean": 10}}],
    "periodSeconds": 10,
    "crests": [{"fromSecond": 0, "forSeconds": 5, "factors": {"a": 3}}]
})";

std::string parseError(const std::string &json)
{
    const auto workload = parseWorkload(json);
    return workload ? "" : workload.error().detail;
}

} // namespace

TEST_CASE("the workload files of the repository are valid")
{
    for (const char *const name : {"mixed", "grown"}) {
        std::ifstream file(std::string(WORKLOADS) + '/' + name + ".json");
        std::ostringstream text;
        text << file.rdbuf();
        const auto workload = parseWorkload(text.str());
        REQUIRE(workload);
        CHECK(workload->name == name);
        CHECK(workload->classes.size() == 3);
    }
}

TEST_CASE("errors in a workload name the path of the invalid field")
{
    CHECK(parseError(smallWorkload).empty());
    CHECK(parseError("no json") == "workload: not a JSON object");
    CHECK(parseError(R"({"name": "w", "engine": {"slots": "x"}, "classes": []})")
        == "engine.slots: expected a number, got \"x\"");
    CHECK(parseError(R"({"name": "w", "engine": {}, "classes": []})") == "classes: expected at least one class");
    CHECK(parseError(R"({"name": "w", "engine": {}, "classes": [{"name": "a", "promptTokens": {"mean": 0},
        "outputTokens": {}}]})")
        == "classes[0].promptTokens.mean: expected at least 1.000000, got 0");
    CHECK(parseError(R"({"name": "w", "engine": {}, "classes": [7]})") == "classes: entry 0 is not an object");
}

TEST_CASE("arrivals follow the rate and its peaks, and are the same for the same seed")
{
    const auto workload = parseWorkload(smallWorkload);
    REQUIRE(workload);
    const auto arrivals = makeArrivals(*workload, 100, 3);
    const auto again = makeArrivals(*workload, 100, 3);
    REQUIRE(arrivals.size() == again.size());
    CHECK(arrivals.back().promptTokens == again.back().promptTokens);
    // 150 per second during half of the time, and 50 per second otherwise.
    CHECK(static_cast<double>(arrivals.size()) == Approx(10'000).epsilon(0.05));
    double tokens = 0;
    for (const Arrival &it : arrivals) {
        tokens += it.promptTokens;
    }
    CHECK(tokens / static_cast<double>(arrivals.size()) == Approx(100).epsilon(0.05));
}

TEST_CASE("the limit of an engine is read and holds in its time only")
{
    const auto workload = parseWorkload(R"({"name":"n","engines":2,"instances":1,"engine":{},
        "classes":[{"name":"c","perSecond":1,"targetMs":1,"gapTargetMs":1,"deadlineMs":1,
        "retries":0,"promptTokens":{"mean":1},"outputTokens":{"mean":1}}],
        "limits":[{"engine":1,"fromSecond":2,"forSeconds":3,"perSecond":1.5}]})");
    REQUIRE(workload);
    CHECK(limitAt(*workload, 1, 2) == 1.5);
    CHECK_FALSE(limitAt(*workload, 1, 5));
    CHECK_FALSE(limitAt(*workload, 0, 3));
}
