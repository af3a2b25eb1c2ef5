// Checks which requests are refused before they are placed.
#include "gatewayfixture.h"

#include "gateway/internal/callerhandler.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** Sends a request with the API key "secret" to the route "/path/" and returns the status of the answer. */
int statusOfRequest(GatewayFixture &fixture, bool isPublic)
{
    catalogue::Route route = fixture.makeRoute(RouteKind::AtMostOnce);
    route.host = "host.example";
    route.prefix = "/path/";
    route.isPublic = isPublic;
    fixture.catalogue->routesByHost[route.host] = {route};
    fixture.response = {};
    CallerHandler handler(fixture.context);
    const auto request = handler.handle(fixture.makeRequest("id-1"), "body", fixture.loop.now(), fixture.response);
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    return fixture.response.head.status;
}

} // namespace

TEST_CASE("while nobody holds an API key, requests are refused with 401 unless their route is public")
{
    GatewayFixture fixture;
    const ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(plainResponse(request, 200, "ok"));
          });
    fixture.catalogue->requiresApiKeys = true;
    CHECK(statusOfRequest(fixture, false) == 401);
    CHECK(upstream.requests.empty());
    CHECK(statusOfRequest(fixture, true) == 200);
    fixture.catalogue->organisationByApiKey["secret"].name = OrganisationId("acme");
    CHECK(statusOfRequest(fixture, false) == 200);
    CHECK(headerField(upstream.requests.back(), "Organisation") == "acme");
}
