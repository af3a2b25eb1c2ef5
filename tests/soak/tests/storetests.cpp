// Gateway processes before a store with faults: the published state that they have in force.
#include "gatewaygroup.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::soak;

namespace
{

/** Well above the time in which a change has to be in force, well below the 28 s after which a watch is given up. */
constexpr Milliseconds applyLimit{12'000};

} // namespace

TEST_CASE("a configuration is in force on all gateways after the answers to all their watches were lost")
{
    GatewayGroup fixture;
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(1);
        },
        applyLimit));
    fixture.store.setMode(SoakStore::Mode::Silent);
    fixture.runUntil(
        [] {
            return false;
        },
        Milliseconds(500));
    fixture.store.setMode(SoakStore::Mode::Serving);
    fixture.publish(2);
    CHECK(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(2);
        },
        applyLimit));
}

TEST_CASE("a configuration that is published after the store came back older is in force on all gateways")
{
    GatewayGroup fixture;
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(1);
        },
        applyLimit));
    // Revisions of the lost time, far above those that are given out again.
    fixture.store.takeCopy();
    for (int i = 0; i < 50; ++i) {
        fixture.store.put("other", std::to_string(i));
    }
    fixture.publish(2);
    REQUIRE(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(2);
        },
        applyLimit));
    fixture.store.restoreCopy(Milliseconds(300));
    fixture.runUntil(
        [] {
            return false;
        },
        Milliseconds(1000));
    CHECK(fixture.isInForceEverywhere(2));
    fixture.publish(3);
    CHECK(fixture.runUntil(
        [&] {
            return fixture.isInForceEverywhere(3);
        },
        applyLimit));
}
