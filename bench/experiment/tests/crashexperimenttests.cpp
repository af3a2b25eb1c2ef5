// Checks what instances conclude from crashes, over many seeds in virtual time.
#include "crashexperiment.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::bench;

namespace
{

/** Requests with a part that crashes engines which may still reach engines once it has to be known. */
constexpr std::size_t maxLateArrivals = 3;
/** What an instance may send for its control. */
constexpr double maxBytesPerSecond = 2048;

struct Totals
{
    std::size_t maxLateArrivals = 0;
    std::size_t soundRefused = 0;
    double maxBytes = 0;
};

Totals runSeeds(const CrashScenario &scenario, std::uint64_t seeds)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const CrashResult result = CrashExperiment(scenario, seed).run();
        totals.maxLateArrivals = std::max(totals.maxLateArrivals, result.lateArrivals);
        totals.soundRefused += result.soundRefused;
        totals.maxBytes = std::max(totals.maxBytes, result.bytesPerInstanceSecond);
    }
    return totals;
}

} // namespace

TEST_CASE("a part that crashes engines is known in time and no sound prompt is refused at any rate")
{
    CrashScenario scenario;
    scenario.crashingPerSecond = GENERATE(0.3, 1.0, 4.0, 40.0);
    scenario.duration = Milliseconds(40'000);
    const Totals totals = runSeeds(scenario, 20);
    CHECK(totals.maxLateArrivals <= maxLateArrivals);
    CHECK(totals.soundRefused == 0);
}

TEST_CASE("reports of crashes cost an instance of a fleet of any size no more than its control may")
{
    CrashScenario scenario;
    scenario.duration = Milliseconds(20'000);
    const auto instances = GENERATE(std::size_t{6}, std::size_t{78}, std::size_t{295});
    scenario.instances = instances;
    const bool isLarge = instances > 100;
    scenario.engines = isLarge ? 112 : 14;
    scenario.soundPerSecond = isLarge ? 148 : 25;
    scenario.heartbeatInterval = std::max(Milliseconds(1000), Milliseconds(20 * static_cast<int>(instances)));
    const Totals totals = runSeeds(scenario, isLarge ? 2 : 5);
    CHECK(totals.maxLateArrivals <= maxLateArrivals);
    CHECK(totals.soundRefused == 0);
    CHECK(totals.maxBytes <= maxBytesPerSecond);
}

TEST_CASE("engines that also end together for other reasons do not put sound prompts into quarantine")
{
    CrashScenario scenario;
    scenario.crashingPerSecond = GENERATE(0.0, 4.0);
    scenario.outages = {Milliseconds(6000), 0.25};
    const Totals totals = runSeeds(scenario, 30);
    CHECK(totals.maxLateArrivals <= maxLateArrivals);
    CHECK(totals.soundRefused == 0);
}

TEST_CASE("instances that have all lost what they knew find out again")
{
    CrashScenario scenario;
    scenario.allKilledAt = Milliseconds(20'000);
    scenario.messageLoss = 0.1;
    const Totals totals = runSeeds(scenario, 20);
    CHECK(totals.maxLateArrivals <= maxLateArrivals);
    CHECK(totals.soundRefused == 0);
}

TEST_CASE("a fleet whose halves do not hear each other knows a part that crashes engines in time")
{
    CrashScenario scenario;
    scenario.cutFrom = Milliseconds(10'000);
    scenario.cutTime = Milliseconds(10'000);
    const Totals totals = runSeeds(scenario, 20);
    CHECK(totals.maxLateArrivals <= maxLateArrivals);
    CHECK(totals.soundRefused == 0);
}
