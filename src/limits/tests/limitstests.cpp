// Tests of the AIMD limit, retry budget, max-min level and retry jitter.
#include "framework/testing/schedule.h"
#include "limits/aimd.h"
#include "limits/backoff.h"
#include "limits/maxminshare.h"
#include "limits/retries.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

using namespace magnolia;
using namespace magnolia::limits;

TEST_CASE("a burst of missed targets decreases the AIMD limit once")
{
    AimdLimit limit{.parameters = {.minLimit = 10, .maxLimit = 1000}, .limit = 100, .lastDecrease = {}};
    const MonoTime start{Seconds(5)};
    for (int i = 0; i < 20; ++i) {
        onTargetMissed(limit, start + Milliseconds(i));
    }
    CHECK(limit.limit == Approx(80));
    onTargetMissed(limit, start + Milliseconds(600));
    CHECK(limit.limit == Approx(64));
}

TEST_CASE("an AIMD limit does not grow while unused and stays within its bounds")
{
    AimdLimit limit{.parameters = {.minLimit = 10, .maxLimit = 101}, .limit = 100, .lastDecrease = {}};
    onTargetMet(limit, 10);
    CHECK(limit.limit == Approx(100));
    for (int i = 0; i < 1000; ++i) {
        onTargetMet(limit, 90);
    }
    CHECK(limit.limit == Approx(101));
    for (int i = 0; i < 100; ++i) {
        onTargetMissed(limit, MonoTime(Seconds(i + 1)));
    }
    CHECK(limit.limit == Approx(10));
}

TEST_CASE("the retry budget limits retries when every request fails")
{
    testing::forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        RetryBudget budget;
        int newRequests = 0;
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            if (random.chance(0.5)) {
                ++newRequests;
                onNewRequest(budget);
            }
            // Every request fails, and each failure asks for a retry.
            retries += takeRetry(budget) ? 1 : 0;
        }
        CHECK(retries <= newRequests * budget.ratio + budget.maxBalance + 1);
    });
}

TEST_CASE("maxMinLevel meets small demands in full and divides the rest equally")
{
    CHECK(std::isinf(maxMinLevel(std::vector<double>{1, 2, 3}, 6)));
    CHECK(maxMinLevel(std::vector<double>{1, 2, 30}, 10) == Approx(7));
    CHECK(maxMinLevel(std::vector<double>{10, 20, 30}, 9) == Approx(3));
    CHECK(std::isinf(maxMinLevel(std::vector<double>{}, 9)));
}

TEST_CASE("jitteredRetryAfter adds at most half of the delay and never shortens it")
{
    Random random(7);
    for (int i = 0; i < 1000; ++i) {
        const Milliseconds retryAfter = jitteredRetryAfter(Milliseconds(2000), random);
        CHECK(retryAfter >= Milliseconds(2000));
        CHECK(retryAfter <= Milliseconds(3000));
    }
    CHECK(jitteredRetryAfter(Milliseconds(0), random) >= Milliseconds(100));
}
