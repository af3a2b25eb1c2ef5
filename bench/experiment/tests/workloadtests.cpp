// Workloads from JSON, and seeded arrivals.
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

std::string mistakeOf(const std::string &json)
{
    const auto made = parseWorkload(json);
    return made ? "" : made.error().detail;
}

} // namespace

TEST_CASE("the workloads that are shipped can be read")
{
    for (const char *const name : {"mixed", "grown"}) {
        std::ifstream file(std::string(WORKLOADS) + '/' + name + ".json");
        std::ostringstream text;
        text << file.rdbuf();
        const auto made = parseWorkload(text.str());
        REQUIRE(made);
        CHECK(made->name == name);
        CHECK(made->classes.size() == 3);
    }
}

TEST_CASE("a mistake in a workload is named by its place")
{
    CHECK(mistakeOf(smallWorkload).empty());
    CHECK(mistakeOf("no json") == "workload: no JSON object");
    CHECK(mistakeOf(R"({"name": "w", "engine": {"slots": "x"}, "classes": []})") == "engine.slots: a number is needed");
    CHECK(mistakeOf(R"({"name": "w", "engine": {}, "classes": []})") == "classes: at least one class is needed");
    CHECK(mistakeOf(R"({"name": "w", "engine": {}, "classes": [{"name": "a", "promptTokens": {"mean": 0},
        "outputTokens": {}}]})")
        == "classes[0].promptTokens.mean: at least 1.000000");
    CHECK(mistakeOf(R"({"name": "w", "engine": {}, "classes": [7]})") == "classes: entry 0 is no object");
}

TEST_CASE("arrivals follow their rate and its crests, and are the same for a seed")
{
    const auto workload = parseWorkload(smallWorkload);
    REQUIRE(workload);
    const auto arrivals = makeArrivals(*workload, 100, 3);
    const auto again = makeArrivals(*workload, 100, 3);
    REQUIRE(arrivals.size() == again.size());
    CHECK(arrivals.back().promptTokens == again.back().promptTokens);
    // Half the time 150 a second, half 50.
    CHECK(static_cast<double>(arrivals.size()) == Approx(10'000).epsilon(0.05));
    double tokens = 0;
    for (const Arrival &it : arrivals) {
        tokens += it.promptTokens;
    }
    CHECK(tokens / static_cast<double>(arrivals.size()) == Approx(100).epsilon(0.05));
}
