// Tests that the placements of a silent instance count as long as its requests are expected to run.
#include "placement/placementtable.h"
#include "placement/silentowner.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

MonoTime at(int ms)
{
    return start + Milliseconds(ms);
}

Placement makePlacement(PlacementId id, UpstreamKey primary, bool isDecoding)
{
    Placement placement;
    placement.id = id;
    placement.primary = primary;
    placement.promptTokens = 4960;
    placement.outputTokens = 100;
    placement.firstEventLimit = Milliseconds(300);
    placement.placedAt = start;
    placement.isDecoding = isDecoding;
    return placement;
}

} // namespace

TEST_CASE("a placement of a silent instance is kept until its request is expected to have ended")
{
    // The first event is due at 300 ms, and the rest takes 500 ms.
    CHECK(keepUntil(makePlacement(1, 7, false), at(100), 500) == at(800));
    // The first event was overdue when the owner was last heard.
    CHECK(keepUntil(makePlacement(1, 7, false), at(900), 500) == at(1400));
    CHECK(keepUntil(makePlacement(1, 7, true), at(200), 500) == at(700));
    CHECK(keepUntil(makePlacement(1, 7, true), at(200), -1) == at(200));
}

TEST_CASE("a placement of a silent instance is not kept beyond the longest deadline")
{
    Placement placement = makePlacement(1, 7, false);
    placement.firstEventLimit = Milliseconds(4'000'000'000);
    CHECK(keepUntil(placement, at(100), 500) == at(100) + maxSilentKeepTime);
    CHECK(keepUntil(makePlacement(1, 7, true), at(0), 1e300) == at(0) + maxSilentKeepTime);
    CHECK(keepUntil(makePlacement(1, 7, true), at(0), std::numeric_limits<double>::quiet_NaN())
        == at(0) + maxSilentKeepTime);
}

TEST_CASE("an engine with running work of a silent instance does not look idle, and is free after its expected end")
{
    PlacementTable table([](const Placement & /*placement*/) {
        return 100.0;
    });
    table.put("silent", makePlacement(1, 7, false), at(0));
    table.put("silent", makePlacement(2, 8, true), at(0));
    table.put("live", makePlacement(3, 7, true), at(0));
    const std::unordered_map<std::string, MonoTime> silentOwners{{"silent", at(100)}};
    const auto decodeMs = [](const Placement & /*placement*/) {
        return 500.0;
    };
    CHECK(table.removeExpired(silentOwners, decodeMs, at(599)) == 0);
    CHECK(table.requestCount(7) == 2);
    CHECK(table.requestCount(8) == 1);
    CHECK(table.removeExpired(silentOwners, decodeMs, at(600)) == 1);
    CHECK(table.requestCount(7) == 2);
    CHECK(table.requestCount(8) == 0);
    CHECK(table.removeExpired(silentOwners, decodeMs, at(800)) == 1);
    CHECK(table.requestCount(7) == 1);
    // The placements of an owner that is not silent are never removed by time.
    CHECK(table.removeExpired({}, decodeMs, at(1'000'000)) == 0);
    CHECK(table.size() == 1);
}
