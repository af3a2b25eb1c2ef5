// Tests of the shares of a fleet's retry budget, with a model of a fleet whose instances restart.
#include "framework/testing/schedule.h"
#include "limits/fleetretrybudgets.h"
#include "limits/retries.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::limits;

namespace
{

const std::string service = "service";

/** Times of the requests and retries of a fleet whose upstreams refuse each attempt. */
struct FleetRun
{
    std::vector<MonoTime> requests;
    std::vector<MonoTime> retries;
};

struct Instance
{
    FleetRetryBudgets budgets;
    MonoTime startedAt;
};

/** Instances hear of all others within this time after their start. */
constexpr Milliseconds acquaintanceTime{1500};

FleetRun runFleet(std::uint64_t seed, std::size_t instanceCount, const FleetRetryLimits &limits)
{
    testing::Schedule schedule(seed);
    Random &random = schedule.random();
    std::vector<Instance> instances(instanceCount, {FleetRetryBudgets(limits, MonoTime{}), MonoTime{}});
    FleetRun run;
    constexpr Milliseconds step{20};
    const MonoTime end{Seconds(60)};
    MonoTime nextKillAt{Seconds(12)};
    for (MonoTime now = MonoTime{}; now < end; now += step) {
        if (now >= nextKillAt) {
            const double share = 0.2 + 0.8 * random.unit();
            for (Instance &it : instances) {
                if (random.chance(share)) {
                    it = {FleetRetryBudgets(limits, now), now};
                }
            }
            nextKillAt = now + Milliseconds(500 + static_cast<std::int64_t>(random.below(14'000)));
        }
        for (Instance &it : instances) {
            const bool isAcquainted = now - it.startedAt >= acquaintanceTime;
            it.budgets.update(isAcquainted ? instanceCount : 1 + random.below(4), now);
        }
        for (int i = 0; i < 2; ++i) {
            RetryBudget &budget = instances[random.below(instanceCount)].budgets.of(service);
            onNewRequest(budget);
            run.requests.push_back(now);
            while (takeRetry(budget)) {
                run.retries.push_back(now);
            }
        }
    }
    return run;
}

std::size_t countWithin(const std::vector<MonoTime> &times, MonoTime from, MonoTime to)
{
    return static_cast<std::size_t>(
        std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
}

} // namespace

TEST_CASE("a fleet whose instances restart beside refusing upstreams makes no more retries than its budget allows")
{
    testing::forEachSeed(50, [](std::uint64_t seed) {
        for (const std::size_t instanceCount : {3, 9, 60}) {
            INFO("MAGNOLIA_SEED=" << seed << ", " << instanceCount << " instances");
            const FleetRetryLimits limits{0.2, 196, Milliseconds(10'000)};
            const FleetRun run = runFleet(seed, instanceCount, limits);
            for (MonoTime from = MonoTime{}; from < MonoTime{Seconds(60)}; from += Milliseconds(250)) {
                const MonoTime to = from + limits.window;
                const auto requests = static_cast<double>(countWithin(run.requests, from, to));
                const auto retries = static_cast<double>(countWithin(run.retries, from, to));
                REQUIRE(retries <= limits.ratio * requests + limits.slack);
            }
        }
    });
}

TEST_CASE("an instance uses its part of the slack once it has run for a window")
{
    const FleetRetryLimits limits{0.2, 100, Milliseconds(10'000)};
    FleetRetryBudgets budgets(limits, MonoTime{Seconds(5)});
    budgets.update(4, MonoTime{Seconds(6)});
    CHECK_FALSE(takeRetry(budgets.of(service)));
    budgets.update(4, MonoTime{Seconds(15)});
    CHECK(budgets.of(service).balance == Approx(20));
    CHECK(budgets.of("opened later").balance == Approx(20));
    // More instances are heard.
    budgets.update(40, MonoTime{Seconds(16)});
    CHECK(budgets.of(service).balance == Approx(2));
    // A larger part is earned by requests only.
    budgets.update(4, MonoTime{Seconds(17)});
    CHECK(budgets.of(service).balance == Approx(2));
}

TEST_CASE("a service that a configuration takes away and another brings back has no more retries than before")
{
    const FleetRetryLimits limits{0.2, 100, Milliseconds(10'000)};
    FleetRetryBudgets budgets(limits, MonoTime{});
    budgets.update(4, MonoTime{Seconds(10)});
    while (takeRetry(budgets.of(service))) { }
    const auto isUsed = [](const std::string & /*service*/) {
        return false;
    };
    (void)budgets.of("unused");
    budgets.retain(isUsed);
    CHECK(budgets.all().size() == 1);
    CHECK_FALSE(takeRetry(budgets.of(service)));
}
