// Tests of the upstreams that have asked for fewer requests.
#include "limits/pressuretable.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::limits;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("an upstream that wants nothing for a time is available again after it")
{
    PressureTable table;
    CHECK(table.availableAt(1, 7, start) == start);
    table.pause(1, 7, Milliseconds(3000), start);
    // A shorter time that is stated later does not end the longer one.
    table.pause(1, 7, Milliseconds(500), start + Milliseconds(100));
    CHECK(table.availableAt(1, 7, start + Milliseconds(1000)) == start + Milliseconds(3000));
    CHECK(table.availableAt(1, 7, start + Milliseconds(3000)) == start + Milliseconds(3000));
    CHECK(table.availableAt(2, 7, start) == start);
}

TEST_CASE("a new run of an upstream has not asked for fewer requests")
{
    PressureTable table;
    table.pause(1, 7, Milliseconds(3000), start);
    CHECK(table.availableAt(1, 8, start) == start);
    table.pause(1, 8, Milliseconds(100), start);
    CHECK(table.availableAt(1, 8, start) == start + Milliseconds(100));
}

TEST_CASE("upstreams that are no longer known are removed")
{
    PressureTable table;
    table.pause(1, 7, Milliseconds(3000), start);
    table.retain([](std::uint64_t) {
        return false;
    });
    CHECK(table.availableAt(1, 7, start) == start);
}
