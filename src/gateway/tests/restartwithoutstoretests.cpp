// Tests in virtual time of a restart of all instances while the store is unavailable: the previous rules beside the
// current ones, at three sizes of fleet and four faults of the store.
#include "restartcallers.h"
#include "restartmodel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>

using namespace magnolia;
using namespace magnolia::gateway::tests;

namespace
{

/** Time after the store's return within which all instances have to be ready. */
constexpr Milliseconds maxReadyTime{300};
/** Reads per second that all instances may make together in a small deployment. */
constexpr std::size_t maxReadsPerSecond = 2000;
constexpr std::uint64_t seeds = 10;

const char *nameOf(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Silent:
        return "silent";
    case StoreFault::Busy:
        return "busy";
    case StoreFault::Resets:
        return "resets";
    case StoreFault::LosesAnswers:
        return "loses answers";
    }
    return "";
}

RestartParameters makeParameters(std::size_t instances, StoreFault fault, std::uint64_t seed)
{
    RestartParameters parameters;
    parameters.instances = instances;
    parameters.fault = fault;
    parameters.seed = seed;
    // The outage seen on deployment A ended 0.7 s after the start; the seeds vary the moment.
    parameters.outage = Milliseconds(700 + 13 * static_cast<std::int64_t>(seed));
    return parameters;
}

/** Returns the time from the store's return to the readiness of the last instance. */
Milliseconds lastReadyTime(const RestartParameters &parameters, const RestartResult &result)
{
    return *std::max_element(result.readyAt.begin(), result.readyAt.end()) - parameters.outage;
}

} // namespace

TEST_CASE("all instances are ready within 0.3 s after the return of the store")
{
    const std::size_t instances = GENERATE(6, 77, 295);
    const StoreFault fault
        = GENERATE(StoreFault::Silent, StoreFault::Busy, StoreFault::Resets, StoreFault::LosesAnswers);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RestartParameters parameters = makeParameters(instances, fault, seed);
        const RestartResult result = runRestart(parameters);
        INFO(instances << " instances, store " << nameOf(fault) << ", MAGNOLIA_SEED=" << seed);
        CHECK(lastReadyTime(parameters, result) <= maxReadyTime);
    }
}

TEST_CASE("all instances are ready sooner after the return of the store than with the previous rules")
{
    const std::size_t instances = GENERATE(6, 77, 295);
    const StoreFault fault
        = GENERATE(StoreFault::Silent, StoreFault::Busy, StoreFault::Resets, StoreFault::LosesAnswers);
    Milliseconds currentSum{0};
    Milliseconds previousSum{0};
    std::size_t withinBound = 0;
    std::size_t currentCalls = 0;
    std::size_t previousCalls = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RestartParameters parameters = makeParameters(instances, fault, seed);
        const RestartResult current = runRestart(parameters);
        parameters.isPreviousBuild = true;
        const RestartResult previous = runRestart(parameters);
        currentSum += lastReadyTime(parameters, current);
        previousSum += lastReadyTime(parameters, previous);
        currentCalls += current.storeCalls;
        previousCalls += previous.storeCalls;
        withinBound += static_cast<std::size_t>(
            std::count_if(current.readyAt.begin(), current.readyAt.end(), [&](Milliseconds at) {
                return at - parameters.outage <= maxReadyTime;
            }));
    }
    const double count = static_cast<double>(seeds);
    std::printf(
        "%3zu instances, store %-13s: last ready after %4.0f ms (previous rules %4.0f ms), %3.0f of 100 instances "
        "within 300 ms, calls %4.0f (%4.0f)\n",
        instances, nameOf(fault), static_cast<double>(currentSum.count()) / count,
        static_cast<double>(previousSum.count()) / count,
        100 * static_cast<double>(withinBound) / count / static_cast<double>(instances),
        static_cast<double>(currentCalls) / count, static_cast<double>(previousCalls) / count);
    CHECK(currentSum < previousSum);
}

TEST_CASE("a fleet that waits for the store makes about ten calls per second beside one at each start")
{
    const std::size_t instances = GENERATE(6, 77, 295);
    const StoreFault fault = GENERATE(StoreFault::Silent, StoreFault::Busy);
    RestartParameters parameters = makeParameters(instances, fault, GENERATE(1, 2, 3));
    parameters.outage = Milliseconds(20'000);
    const RestartResult result = runRestart(parameters);
    INFO(instances << " instances, store " << nameOf(fault) << ", MAGNOLIA_SEED=" << parameters.seed);
    CHECK(result.callsDuringOutage <= instances + 12 * 20);
    CHECK(result.maxStoreCallsPerSecond <= maxReadsPerSecond);
}

TEST_CASE("more callers with one retry are served during a restart than with the previous rule")
{
    const std::size_t instances = GENERATE(6, 77, 295);
    const StoreFault fault
        = GENERATE(StoreFault::Silent, StoreFault::Busy, StoreFault::Resets, StoreFault::LosesAnswers);
    std::size_t current = 0;
    std::size_t sameReadiness = 0;
    std::size_t previous = 0;
    std::size_t callers = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        RestartParameters parameters = makeParameters(instances, fault, seed);
        CallerLoad load;
        load.seed = seed;
        const auto readyAt = runRestart(parameters).readyAt;
        current += countServed(load, readyAt, CallerRule::Current);
        sameReadiness += countServed(load, readyAt, CallerRule::Previous);
        parameters.isPreviousBuild = true;
        previous += countServed(load, runRestart(parameters).readyAt, CallerRule::Previous);
        callers += load.callers;
    }
    std::printf("%3zu instances, store %-13s: callers served %zu of %zu (previous rule with the same readiness %zu, "
                "previous build %zu)\n",
        instances, nameOf(fault), current, callers, sameReadiness, previous);
    CHECK(current > sameReadiness);
    CHECK(sameReadiness > previous);
}
