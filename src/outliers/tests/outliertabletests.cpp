// Tests of the exclusion and recovery of upstreams.
#include "outliers/outliertable.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::outliers;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

MonoTime at(int ms)
{
    return start + Milliseconds(ms);
}

} // namespace

TEST_CASE("an upstream is excluded after failures, then on trial, and recovers after a success")
{
    OutlierTable table;
    table.recordOutcome(1, AttemptOutcome::Failed, 0, at(0));
    CHECK_FALSE(table.isExcluded(1, at(0)));
    table.recordOutcome(1, AttemptOutcome::Failed, 0, at(10));
    CHECK(table.isExcluded(1, at(20)));
    CHECK_FALSE(table.isExcluded(1, at(1100)));
    CHECK(table.isOnTrial(1, at(1100)));
    table.recordOutcome(1, AttemptOutcome::Succeeded, 0, at(1200));
    CHECK_FALSE(table.isOnTrial(1, at(1200)));
}

TEST_CASE("a failure on trial doubles the exclusion time")
{
    OutlierTable table;
    table.recordOutcome(1, AttemptOutcome::Unreachable, 0, at(0));
    table.recordOutcome(1, AttemptOutcome::Failed, 0, at(1100));
    CHECK(table.isExcluded(1, at(3000)));
    CHECK_FALSE(table.isExcluded(1, at(3200)));
}

TEST_CASE("a failure share common to the whole service does not exclude an upstream")
{
    OutlierTable table;
    for (int i = 0; i < 40; ++i) {
        table.recordOutcome(1, i % 7 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, 0.14, at(50 * i));
        CHECK_FALSE(table.isExcluded(1, at(50 * i)));
    }
}

TEST_CASE("each exclusion of a flapping upstream is longer than the one before")
{
    OutlierTable table;
    int now = 0;
    Milliseconds last{0};
    for (int cycle = 0; cycle < 3; ++cycle) {
        table.recordOutcome(1, AttemptOutcome::Unreachable, 0, at(now));
        int until = now;
        while (table.isExcluded(1, at(until))) {
            until += 100;
        }
        CHECK(Milliseconds(until - now) > last);
        last = Milliseconds(until - now);
        table.recordOutcome(1, AttemptOutcome::Succeeded, 0, at(until));
        now = until + 500;
    }
}

TEST_CASE("retain removes unknown upstreams and keeps known ones")
{
    OutlierTable table;
    table.recordOutcome(1, AttemptOutcome::Unreachable, 0, at(0));
    table.recordOutcome(2, AttemptOutcome::Unreachable, 0, at(0));
    table.retain([](std::uint64_t upstream) {
        return upstream == 2;
    });
    CHECK_FALSE(table.isExcluded(1, at(1)));
    CHECK(table.isExcluded(2, at(1)));
}

TEST_CASE("refused attempts do not count as failures")
{
    OutlierTable table;
    for (int i = 0; i < 20; ++i) {
        table.recordOutcome(1, AttemptOutcome::Refused, 0, at(i));
    }
    CHECK_FALSE(table.isExcluded(1, at(20)));
}

TEST_CASE("slowdown follows the measured ratio within its bounds")
{
    OutlierTable table;
    CHECK(table.slowdown(1) == 1);
    for (int i = 0; i < 40; ++i) {
        table.recordSlowdown(1, 100);
    }
    CHECK(table.slowdown(1) > 3);
    CHECK(table.slowdown(1) <= 6);
    for (int i = 0; i < 60; ++i) {
        table.recordSlowdown(1, 0.5);
    }
    CHECK(table.slowdown(1) == Approx(1).margin(0.05));
}
