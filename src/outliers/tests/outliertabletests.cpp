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
    table.record(1, Evidence::Failed, 0, at(0));
    CHECK_FALSE(table.isExcluded(1, at(0)));
    table.record(1, Evidence::Failed, 0, at(10));
    CHECK(table.isExcluded(1, at(20)));
    CHECK_FALSE(table.isExcluded(1, at(1100)));
    CHECK(table.isOnTrial(1, at(1100)));
    table.record(1, Evidence::Good, 0, at(1200));
    CHECK_FALSE(table.isOnTrial(1, at(1200)));
}

TEST_CASE("a failed trial leaves it out for twice as long")
{
    OutlierTable table;
    table.record(1, Evidence::Unreachable, 0, at(0));
    table.record(1, Evidence::Failed, 0, at(1100));
    CHECK(table.isExcluded(1, at(3000)));
    CHECK_FALSE(table.isExcluded(1, at(3200)));
}

TEST_CASE("failures that all upstreams of a service share exclude none")
{
    OutlierTable table;
    for (int i = 0; i < 40; ++i) {
        table.record(1, i % 7 == 0 ? Evidence::Failed : Evidence::Good, 0.14, at(50 * i));
        CHECK_FALSE(table.isExcluded(1, at(50 * i)));
    }
}

TEST_CASE("an upstream that goes down and up by turns is left out for longer each time")
{
    OutlierTable table;
    int now = 0;
    Milliseconds last{0};
    for (int turn = 0; turn < 3; ++turn) {
        table.record(1, Evidence::Unreachable, 0, at(now));
        int until = now;
        while (table.isExcluded(1, at(until))) {
            until += 100;
        }
        CHECK(Milliseconds(until - now) > last);
        last = Milliseconds(until - now);
        table.record(1, Evidence::Good, 0, at(until));
        now = until + 500;
    }
}

TEST_CASE("upstreams that are gone are forgotten")
{
    OutlierTable table;
    table.record(1, Evidence::Unreachable, 0, at(0));
    table.record(2, Evidence::Unreachable, 0, at(0));
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
        table.record(1, Evidence::Shed, 0, at(i));
    }
    CHECK_FALSE(table.isExcluded(1, at(20)));
}

TEST_CASE("pace follows what is measured, within bounds")
{
    OutlierTable table;
    CHECK(table.pace(1) == 1);
    for (int i = 0; i < 40; ++i) {
        table.recordPace(1, 100);
    }
    CHECK(table.pace(1) > 3);
    CHECK(table.pace(1) <= 6);
    for (int i = 0; i < 60; ++i) {
        table.recordPace(1, 0.5);
    }
    CHECK(table.pace(1) == Approx(1).margin(0.05));
}
