// Tests of the speeds of engines, as measured from the first events of all instances' placements.
#include "placement/enginecost.h"
#include "placement/placementtable.h"
#include "placement/speedtable.h"

#include <catch2/catch.hpp>

#include <array>
#include <limits>
#include <string>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

MonoTime at(int ms)
{
    return start + Milliseconds(ms);
}

constexpr double expectedMs = 100;

void record(SpeedTable &table, UpstreamKey upstream, double elapsedMs, MonoTime now)
{
    const std::array members{ExpectedFirstEvent{upstream, expectedMs}};
    table.recordFirstEvent(members, elapsedMs, now);
}

} // namespace

TEST_CASE("an engine without measurements has its published speed")
{
    const SpeedTable table;
    CHECK(table.slowdown(1, start) == 1);
}

TEST_CASE("an engine at a fifth of its speed is known as slow by its size, whatever was assumed before")
{
    // Guards against ratios to a prediction that contains the assumed slowdown, which settle at its square root.
    SpeedTable table;
    for (int i = 0; i < 30; ++i) {
        record(table, 1, 5 * expectedMs, at(i * 50));
    }
    // More than the square root of 5 with all that contention may explain.
    CHECK(table.slowdown(1, at(1500)) > 3.5);
    CHECK(table.slowdown(1, at(1500)) <= 5);
}

TEST_CASE("one late first event does not make an engine slow, and one fast engine stays fast")
{
    SpeedTable table;
    for (int i = 0; i < 10; ++i) {
        record(table, 1, expectedMs, at(i * 50));
    }
    record(table, 1, 3 * expectedMs, at(600));
    CHECK(table.slowdown(1, at(600)) < 1.3);
}

TEST_CASE("an engine that is avoided loses its slowness and is tried again")
{
    SpeedTable table;
    for (int i = 0; i < 10; ++i) {
        record(table, 1, 5 * expectedMs, at(i * 50));
    }
    CHECK(table.slowdown(1, at(120'000)) < 1.2);
}

TEST_CASE("the slow member of groups is told from the others by the groups that it is not in")
{
    SpeedTable table;
    for (int i = 0; i < 20; ++i) {
        const std::array withSlow{ExpectedFirstEvent{1, expectedMs}, ExpectedFirstEvent{2, expectedMs}};
        table.recordFirstEvent(withSlow, 4 * expectedMs, at(i * 100));
        const std::array withoutSlow{ExpectedFirstEvent{2, expectedMs}, ExpectedFirstEvent{3, expectedMs}};
        table.recordFirstEvent(withoutSlow, expectedMs, at(i * 100 + 50));
    }
    CHECK(table.slowdown(1, at(2000)) > 2 * table.slowdown(2, at(2000)));
    CHECK(table.slowdown(3, at(2000)) == 1);
}

TEST_CASE("times that are no number and placements without engines change nothing")
{
    SpeedTable table;
    record(table, 1, std::numeric_limits<double>::quiet_NaN(), start);
    record(table, 1, -1, start);
    table.recordFirstEvent({}, 100, start);
    CHECK(table.size() == 0);
}

TEST_CASE("speeds are kept only of engines that were measured lately")
{
    SpeedTable table;
    for (UpstreamKey key = 1; key <= 1000; ++key) {
        record(table, key, expectedMs, at(static_cast<int>(key) * 1000));
    }
    // Records lose 99 in 100 of their weight in less than five times the memory.
    CHECK(table.size() <= 101);
}

TEST_CASE("an instance learns the speed of an engine from the placements of its peers")
{
    // Guards against speeds measured on an instance's own requests alone: with 60 instances and 54 engines, an instance
    // sends an engine one request in 40 seconds.
    catalogue::EngineModel engine;
    engine.slots = 12;
    engine.stepsPerPass = 52;
    engine.stepMs = 0.925;
    engine.prefillTokensPerMs = 256;
    const auto prefill = [&](const Placement &it) {
        return prefillMs(engine, it.promptTokens);
    };
    PlacementTable table(prefill, [&](const Placement & /*it*/) {
        return &engine;
    });
    constexpr double slowdown = 4;
    for (int i = 0; i < 20; ++i) {
        Placement placement;
        placement.id = static_cast<PlacementId>(i) + 1;
        placement.primary = 7;
        placement.promptTokens = 4960;
        placement.placedAt = at(i * 1000);
        const std::string owner = "peer-" + std::to_string(i);
        table.put(owner, placement, at(i * 1000 + 3));
        const double firstEventMs = slowdown * (prefill(placement) + decodePassMs(engine, 1, 0));
        table.setDecoding(placement.id, at(i * 1000 + static_cast<int>(firstEventMs)));
        table.remove(placement.id, at(i * 1000 + 900));
    }
    CHECK(table.slowdown(7, at(20'000)) > 2.5);
    CHECK(table.slowdown(8, at(20'000)) == 1);
}

TEST_CASE("a first event that only a repeated state reports is not measured")
{
    // Its time is that of the repetition, up to a second after the event.
    catalogue::EngineModel engine;
    engine.slots = 12;
    PlacementTable table(
        [](const Placement & /*it*/) {
            return 20;
        },
        [&](const Placement & /*it*/) {
            return &engine;
        });
    Placement placement;
    placement.id = 1;
    placement.primary = 7;
    placement.placedAt = start;
    table.put("a", placement, at(2));
    placement.isDecoding = true;
    table.replaceAll("a", {placement}, at(900));
    CHECK(table.slowdown(7, at(900)) == 1);
}
