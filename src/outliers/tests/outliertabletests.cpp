// Exclusion and return of upstreams.
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

TEST_CASE("an upstream that fails much is left out, tried once, and taken back after a success")
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

TEST_CASE("a failed trial leaves it out for twice as long")
{
    OutlierTable table;
    table.recordOutcome(1, AttemptOutcome::Unreachable, 0, at(0));
    table.recordOutcome(1, AttemptOutcome::Failed, 0, at(1100));
    CHECK(table.isExcluded(1, at(3000)));
    CHECK_FALSE(table.isExcluded(1, at(3200)));
}

TEST_CASE("failures that all upstreams of a service share exclude none")
{
    OutlierTable table;
    for (int i = 0; i < 40; ++i) {
        table.recordOutcome(1, i % 7 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, 0.14, at(50 * i));
        CHECK_FALSE(table.isExcluded(1, at(50 * i)));
    }
}

TEST_CASE("an upstream that goes down and up by turns is left out for longer each time")
{
    OutlierTable table;
    int now = 0;
    Milliseconds last{0};
    for (int turn = 0; turn < 3; ++turn) {
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

TEST_CASE("upstreams that are gone are forgotten")
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

TEST_CASE("refusals of a full upstream are no failures")
{
    OutlierTable table;
    for (int i = 0; i < 20; ++i) {
        table.recordOutcome(1, AttemptOutcome::Refused, 0, at(i));
    }
    CHECK_FALSE(table.isExcluded(1, at(20)));
}

TEST_CASE("pace follows what is measured, within bounds")
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
