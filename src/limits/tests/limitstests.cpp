// Adaptive limit, retry budget, max-min level and jitter.
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

TEST_CASE("a burst of misses lowers the limit once")
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

TEST_CASE("a limit that is not used does not grow, and stays within its bounds")
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

TEST_CASE("the retry budget bounds amplification whatever fails")
{
    testing::forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        RetryBudget budget;
        int fresh = 0;
        int retries = 0;
        for (int i = 0; i < 10000; ++i) {
            if (random.chance(0.5)) {
                ++fresh;
                onNewRequest(budget);
            }
            // Everything fails, and each failure asks for a retry.
            retries += takeRetry(budget) ? 1 : 0;
        }
        CHECK(retries <= fresh * budget.ratio + budget.maxBalance + 1);
    });
}

TEST_CASE("max-min serves small demands whole and divides the rest")
{
    CHECK(std::isinf(maxMinLevel(std::vector<double>{1, 2, 3}, 6)));
    CHECK(maxMinLevel(std::vector<double>{1, 2, 30}, 10) == Approx(7));
    CHECK(maxMinLevel(std::vector<double>{10, 20, 30}, 9) == Approx(3));
    CHECK(std::isinf(maxMinLevel(std::vector<double>{}, 9)));
}

TEST_CASE("jitter only adds, by at most half")
{
    Random random(7);
    for (int i = 0; i < 1000; ++i) {
        const Milliseconds after = jitteredRetryAfter(Milliseconds(2000), random);
        CHECK(after >= Milliseconds(2000));
        CHECK(after <= Milliseconds(3000));
    }
    CHECK(jitteredRetryAfter(Milliseconds(0), random) >= Milliseconds(100));
}
