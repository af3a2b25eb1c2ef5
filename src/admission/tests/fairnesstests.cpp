// Tests of max-min fairness between organisations.
#include "admission/internal/fairness.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::admission;
using namespace magnolia::admission::internal;

TEST_CASE("the max-min level is above the usage of small organisations and below that of a large one")
{
    AdmissionState state;
    const MonoTime now{Seconds(1)};
    // Over a window of 5 s: 1,600, 200 and 200 tokens per second.
    recordAdmitted(state, OrganisationId("large"), CapacityPool::Short, 8000, now);
    recordAdmitted(state, OrganisationId("small-1"), CapacityPool::Short, 1000, now);
    recordAdmitted(state, OrganisationId("small-2"), CapacityPool::Short, 1000, now);
    const PoolShares large = computePoolShares(state, OrganisationId("large"), CapacityPool::Short, 0.6, now);
    CHECK(large.maxMinLevel == Approx(800));
    CHECK(large.ownUsage == Approx(1600));
    const PoolShares small = computePoolShares(state, OrganisationId("small-1"), CapacityPool::Short, 0.6, now);
    CHECK(small.ownUsage < small.maxMinLevel);
}

TEST_CASE("usage decays to the max-min level within the predicted time and not within half of it")
{
    AdmissionState state;
    const OrganisationId large("large");
    const OrganisationId small("small");
    MonoTime now{Seconds(1)};
    for (int i = 0; i < 600; ++i) {
        now += Milliseconds(100);
        recordAdmitted(state, large, CapacityPool::Short, 800, now);
        recordAdmitted(state, small, CapacityPool::Short, 100, now);
    }
    const PoolShares shares = computePoolShares(state, large, CapacityPool::Short, 0.6, now);
    REQUIRE(shares.ownUsage > shares.maxMinLevel);
    const Milliseconds wait = timeUntilLevel(shares.ownUsage, shares.longTermMaxMinLevel, CapacityPool::Short);
    const PoolShares early = computePoolShares(state, large, CapacityPool::Short, 0.6, now + wait / 2);
    CHECK(early.ownUsage > early.maxMinLevel);
    const PoolShares later = computePoolShares(state, large, CapacityPool::Short, 0.6, now + wait);
    CHECK(later.ownUsage <= later.maxMinLevel * 1.001);
}

TEST_CASE("the fairness delay applies only above an equal share and never exceeds its bound")
{
    CHECK(fairnessDelayFor({.ownUsage = 10, .totalUsage = 40, .activeOrganisations = 4}, Milliseconds(500))
        == Milliseconds(0));
    CHECK(fairnessDelayFor({.ownUsage = 20, .totalUsage = 40, .activeOrganisations = 4}, Milliseconds(500))
        == Milliseconds(150));
    CHECK(fairnessDelayFor({.ownUsage = 39, .totalUsage = 40, .activeOrganisations = 40}, Milliseconds(500))
        == Milliseconds(500));
    CHECK(fairnessDelayFor({.ownUsage = 40, .totalUsage = 40, .activeOrganisations = 1}, Milliseconds(500))
        == Milliseconds(0));
}
