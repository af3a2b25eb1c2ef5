// Tests of the retries that an instance makes beside refusing upstreams.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

void refuse(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
}

std::size_t sentCount(const GatewayFixture &fixture)
{
    std::size_t count = 0;
    for (const auto &it : fixture.upstreams) {
        count += it->requests.size();
    }
    return count;
}

} // namespace

TEST_CASE("an instance that has just started does not use the retry slack that its previous run may have used")
{
    GatewayFixture fixture;
    const GatewaySettings settings;
    fixture.context.retryBudgets = limits::FleetRetryBudgets(
        {settings.retryRatio, settings.retrySlack, settings.retryWindow}, fixture.loop.now());
    updateRetryBudgets(fixture.context);
    fixture.addUpstream("service", refuse);
    fixture.addUpstream("service", refuse);
    constexpr std::size_t requestCount = 20;
    for (std::size_t i = 0; i < requestCount; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent), "id-" + std::to_string(i));
    }
    const double allowed = fixture.settings.retryRatio * static_cast<double>(requestCount);
    CHECK(static_cast<double>(sentCount(fixture) - requestCount) <= allowed);
}

TEST_CASE("a request that peers have sent in vain is charged to the retry budget when it is relayed again")
{
    GatewayFleet fleet({"a", "a", "a"});
    for (int i = 0; i < 4; ++i) {
        fleet.addUpstream("engine", refuse);
        fleet.addUpstream("app", refuse);
    }
    fleet.start();
    fleet.cut(0, Cut::Reset);
    for (int i = 0; i < 6; ++i) {
        fleet.run(0, "first" + std::to_string(i), i % 2 == 0 ? "/safe/x" : "/stream/x");
    }
    REQUIRE_FALSE(fleet.status(0)["partition"].is_null());
    const std::size_t sentBefore = fleet.requestCount(1) + fleet.requestCount(2);
    constexpr std::size_t requestCount = 150;
    for (std::size_t i = 0; i < requestCount; ++i) {
        fleet.run(0, "id-" + std::to_string(i), "/safe/x");
    }
    const GatewaySettings settings;
    const double allowed = settings.retryRatio * static_cast<double>(requestCount) + settings.retrySlack;
    const std::size_t sent = fleet.requestCount(1) + fleet.requestCount(2) - sentBefore;
    REQUIRE(sent >= requestCount);
    CHECK(static_cast<double>(sent - requestCount) <= allowed);
}
