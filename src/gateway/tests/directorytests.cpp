// Checks whom the directories of the instances that are left name after the loss of others.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

constexpr std::size_t instanceCount = 7;
/** Specified time after which no directory names a lost instance: a contact time of 4 s, and 3 s. */
constexpr Milliseconds bound{7000};

void addUpstreams(GatewayFleet &fleet)
{
    const auto respond = [](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 200, "ok"));
    };
    fleet.addUpstream("engine", respond);
    fleet.addUpstream("app", respond);
    fleet.addUpstream("app", respond);
}

std::string namedBy(GatewayFleet &fleet, std::size_t gateway)
{
    const std::string addresses = fleet.callerAddresses(gateway);
    std::string names;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        if (addresses.find(fleet.callerAddress(i) + ' ') != std::string::npos) {
            names += std::to_string(i);
        }
    }
    return names;
}

} // namespace

TEST_CASE("directories name only the instances that are left after the loss of half, of most and of all but one")
{
    // Guards against the naming of lost instances for a minute after the loss of most.
    const std::size_t left = GENERATE(4U, 3U, 1U);
    GatewayFleet fleet(std::vector<std::string>(instanceCount, "a"));
    addUpstreams(fleet);
    fleet.setLosable(left);
    fleet.start();
    REQUIRE(namedBy(fleet, 0) == "0123456");
    fleet.loseMachines();
    const std::string expected = std::string("0123456").substr(0, left);
    for (std::size_t i = 0; i < left; ++i) {
        CHECK(fleet.runUntil(
            [&] {
                return namedBy(fleet, i) == expected;
            },
            bound));
    }
    // The peers that are left stay named.
    fleet.runFor(Milliseconds(1500));
    for (std::size_t i = 0; i < left; ++i) {
        CHECK(namedBy(fleet, i) == expected);
    }
}

TEST_CASE("an instance that reaches neither peers nor store nor upstreams names its peers until the store answers")
{
    GatewayFleet fleet(std::vector<std::string>(instanceCount, "a"));
    addUpstreams(fleet);
    fleet.setLosable(1);
    fleet.start();
    fleet.loseMachines();
    fleet.cut(0, Cut::Refusing);
    fleet.setStoreRefusing(0, true);
    CHECK(fleet.runUntil(
        [&] {
            fleet.run(0, "x", "/safe/x");
            return namedBy(fleet, 0) == "0123456";
        },
        bound));
    fleet.setStoreRefusing(0, false);
    CHECK(fleet.runUntil(
        [&] {
            return namedBy(fleet, 0) == "0";
        },
        bound));
}
