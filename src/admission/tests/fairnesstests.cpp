// Max-min fairness between organisations.
#include "admission/internal/fairness.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::admission;
using namespace magnolia::admission::internal;

TEST_CASE("the level spares small organisations and cuts the large one")
{
    AdmissionState state;
    const MonoTime now{Seconds(1)};
    // Over a window of 5 s: 1,600, 200 and 200 tokens a second.
    noteAdmitted(state, OrganisationId("large"), CapacityPool::Short, 8000, now);
    noteAdmitted(state, OrganisationId("small-1"), CapacityPool::Short, 1000, now);
    noteAdmitted(state, OrganisationId("small-2"), CapacityPool::Short, 1000, now);
    const ShareView large = viewShares(state, OrganisationId("large"), CapacityPool::Short, 0.6, now);
    CHECK(large.level == Approx(800));
    CHECK(large.own == Approx(1600));
    const ShareView small = viewShares(state, OrganisationId("small-1"), CapacityPool::Short, 0.6, now);
    CHECK(small.own < small.level);
}

TEST_CASE("the time to come back is when the use has fallen to the level, and not long after")
{
    AdmissionState state;
    const OrganisationId large("large");
    const OrganisationId small("small");
    MonoTime now{Seconds(1)};
    for (int i = 0; i < 600; ++i) {
        now += Milliseconds(100);
        noteAdmitted(state, large, CapacityPool::Short, 800, now);
        noteAdmitted(state, small, CapacityPool::Short, 100, now);
    }
    const ShareView view = viewShares(state, large, CapacityPool::Short, 0.6, now);
    REQUIRE(view.own > view.level);
    const Milliseconds wait = timeUntilLevel(view.own, view.lastingLevel, CapacityPool::Short);
    const ShareView early = viewShares(state, large, CapacityPool::Short, 0.6, now + wait / 2);
    CHECK(early.own > early.level);
    const ShareView later = viewShares(state, large, CapacityPool::Short, 0.6, now + wait);
    CHECK(later.own <= later.level * 1.001);
}

TEST_CASE("only use beyond an equal share is delayed, and never beyond the bound")
{
    CHECK(delayBeyondShare({.own = 10, .total = 40, .active = 4}, Milliseconds(500)) == Milliseconds(0));
    CHECK(delayBeyondShare({.own = 20, .total = 40, .active = 4}, Milliseconds(500)) == Milliseconds(150));
    CHECK(delayBeyondShare({.own = 39, .total = 40, .active = 40}, Milliseconds(500)) == Milliseconds(500));
    CHECK(delayBeyondShare({.own = 40, .total = 40, .active = 1}, Milliseconds(500)) == Milliseconds(0));
}
