// Checks with three regions that requests with homes run only there, and whom the directory names for their hosts.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include "gateway/internal/locatequery.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

const RegionId eu("eu");
const RegionId us("us");
const RegionId ap("ap");

void respondOk(Connection &connection, const std::string &request, int /*number*/)
{
    if (request.starts_with("POST /stream/")) {
        connection.send(eventStreamHead(request) + eventChunk(1) + "0\r\n\r\n");
    } else {
        connection.send(plainResponse(request, 200, "ok"));
    }
}

void breakOff(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(eventStreamHead(request) + eventChunk(1));
    connection.close();
}

/** Has an upstream in each of three regions, in the order "eu", "us", "ap". */
class ThreeRegions : public GatewayFixture
{
public:
    explicit ThreeRegions(const ScriptedUpstream::Script &script = respondOk)
    {
        settings.regions = {{DataCentreId("eu-1"), eu}, {DataCentreId("us-1"), us}, {DataCentreId("ap-1"), ap}};
        for (const char *const dataCentre : {"eu-1", "us-1", "ap-1"}) {
            addUpstream("service", script, dataCentre);
        }
    }

    /** Runs a request of an organisation with `organisationHomes` to its end. */
    void runRequestOf(const catalogue::Route &theRoute, const std::vector<RegionId> &organisationHomes,
        const std::string &id = "id-1")
    {
        route = theRoute;
        response = {};
        const catalogue::OrganisationEntry organisation{OrganisationId("acme"), std::nullopt, organisationHomes};
        const auto exchange = std::make_shared<Exchange>(
            context, route, organisation, makeRequest(id), "body", loop.now(), std::nullopt, response);
        exchange->start();
        runUntil([&] {
            return response.isFinished();
        });
    }
    [[nodiscard]] std::vector<std::size_t> requestCounts() const
    {
        std::vector<std::size_t> counts;
        for (const auto &it : upstreams) {
            counts.push_back(it->requests.size());
        }
        return counts;
    }
};

} // namespace

TEST_CASE("a request does not run outside the homes of its route or organisation")
{
    constexpr std::size_t requestCount = 12;
    const auto [routeHomes, organisationHomes, index]
        = GENERATE(table<std::vector<RegionId>, std::vector<RegionId>, std::size_t>({
            {{eu}, {}, 0},
            {{us}, {}, 1},
            {{}, {ap}, 2},
            {{eu, us}, {us, ap}, 1},
        }));
    ThreeRegions regions;
    catalogue::Route route = regions.makeRoute(RouteKind::AtMostOnce);
    route.homes = routeHomes;
    for (std::size_t i = 0; i < requestCount; ++i) {
        regions.runRequestOf(route, organisationHomes, "id-" + std::to_string(i));
        CHECK(regions.response.head.status == 200);
    }
    std::vector<std::size_t> expected(3, 0);
    expected[index] = requestCount;
    CHECK(regions.requestCounts() == expected);
}

TEST_CASE("a request whose homes have no upstream is refused as not run with Retry-After")
{
    ThreeRegions regions;
    catalogue::Route route = regions.makeRoute(RouteKind::AtMostOnce);
    const auto [routeHomes, organisationHomes] = GENERATE(table<std::vector<RegionId>, std::vector<RegionId>>({
        {{RegionId("sa")}, {}},
        {{eu}, {us}},
    }));
    route.homes = routeHomes;
    regions.runRequestOf(route, organisationHomes);
    CHECK(regions.response.head.status == 503);
    CHECK(regions.response.head.fields.has("Retry-After"));
    CHECK(regions.requestCounts() == std::vector<std::size_t>{0, 0, 0});
}

TEST_CASE("neither a retry nor a resumed stream leaves the homes")
{
    const RouteKind kind = GENERATE(RouteKind::Idempotent, RouteKind::Stream);
    ThreeRegions regions(breakOff);
    catalogue::Route route = regions.makeRoute(kind);
    route.maxAttempts = 3;
    route.homes = {us};
    regions.runRequestOf(route, {});
    CHECK(regions.upstreams[0]->requests.empty());
    CHECK_FALSE(regions.upstreams[1]->requests.empty());
    CHECK(regions.upstreams[2]->requests.empty());
}

TEST_CASE("engines outside the homes neither help nor reserve memory")
{
    ThreeRegions regions([](Connection &connection, const std::string &request, int /*number*/) {
        if (request.starts_with("POST /order")) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else {
            connection.send(eventStreamHead(request) + eventChunk(1) + "0\r\n\r\n");
        }
    });
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    regions.catalogue->services["service"].engine = engine;
    catalogue::Route route = regions.makeRoute(RouteKind::Stream);
    route.homes = {eu, ap};
    httpwire::RequestHead head = regions.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const auto exchange = regions.beginRequest(route, head, "body");
    regions.runUntil([&] {
        return regions.response.isFinished();
    });
    CHECK(regions.response.isComplete);
    CHECK(regions.upstreams[1]->requests.empty());
}

TEST_CASE("without homes upstreams of all regions and of data centres without a region are used")
{
    GatewayFixture fixture;
    fixture.settings.regions = {{DataCentreId("eu-1"), eu}};
    fixture.addUpstream("service", respondOk, "unknown");
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("the query of a directory request is read with escaped and missing parameters")
{
    WirePaths paths;
    paths.locateHost = "Name";
    paths.locateRegion = "Region";
    paths.locateDataCentre = "Zone";
    const LocateQuery query = readLocateQuery("Name=a%2Eexample&x&Zone=z1&Region=%zz", paths);
    CHECK(query.host == "a.example");
    CHECK(query.region.isEmpty());
    CHECK(query.dataCentre == DataCentreId("z1"));
    CHECK(readLocateQuery("", paths).host.empty());
    CHECK(readLocateQuery("=&&Name", paths).host.empty());
}

TEST_CASE("callers are directed to their region and the homes that all routes share before any home")
{
    const catalogue::RegionTable table{{DataCentreId("ap-1"), ap}};
    const catalogue::HostHomes homes{true, {eu}, {eu, us}};
    using Sets = std::vector<std::vector<RegionId>>;
    CHECK(preferredRegions(homes, {"h", ap, {}}, table) == Sets{{eu, ap}, {eu, us, ap}});
    CHECK(preferredRegions(homes, {"h", {}, DataCentreId("ap-1")}, table) == Sets{{eu, ap}, {eu, us, ap}});
    CHECK(preferredRegions(homes, {"h", {}, {}}, table) == Sets{{eu}, {eu, us}});
    CHECK(preferredRegions({}, {"h", ap, {}}, table).empty());
}

namespace
{

/** Four gateways, one in each of "eu", "us" and "ap" and one in a data centre without a region. */
void startFleet(GatewayFleet &fleet, const std::vector<std::string> &homes)
{
    for (const char *const dataCentre : {"eu-1", "us-1", "ap-1"}) {
        fleet.addUpstream("app", respondOk, dataCentre);
        fleet.addUpstream("engine", respondOk, dataCentre);
    }
    fleet.setRegions({{"eu-1", "eu"}, {"us-1", "us"}, {"ap-1", "ap"}});
    fleet.setHomes(homes);
    fleet.start();
}

std::string named(GatewayFleet &fleet, std::size_t gateway, const std::string &query)
{
    const std::string addresses = fleet.callerAddresses(gateway, query);
    std::string names;
    for (std::size_t i = 0; i < 4; ++i) {
        if (addresses.find(fleet.callerAddress(i) + ' ') != std::string::npos) {
            names += std::to_string(i);
        }
    }
    return names;
}

} // namespace

TEST_CASE("the directory names no instance that is neither in a home nor in the caller's region")
{
    GatewayFleet fleet({"eu-1", "us-1", "ap-1", "unknown"});
    startFleet(fleet, {"eu"});
    for (std::size_t gateway = 0; gateway < 4; ++gateway) {
        CHECK(named(fleet, gateway, "?Host=h&Region=us&Data-Centre=us-1") == "01");
        CHECK(named(fleet, gateway, "?Host=h&Region=eu") == "0");
        CHECK(named(fleet, gateway, "?Host=h&Data-Centre=ap-1") == "02");
        // Hosts without homes are answered as before.
        CHECK(named(fleet, gateway, "?Host=other&Region=us") == "0123");
        CHECK(named(fleet, gateway, "") == "0123");
    }
}

TEST_CASE("the directory names all instances if none is in a home or in the caller's region")
{
    GatewayFleet fleet({"eu-1", "us-1", "ap-1", "unknown"});
    startFleet(fleet, {"sa"});
    CHECK(named(fleet, 1, "?Host=h&Region=sa") == "0123");
    CHECK(named(fleet, 1, "?Host=h&Region=us") == "1");
}

TEST_CASE("a partitioned instance relays requests with homes only to peers in a home or in its own region")
{
    GatewayFleet fleet({"us-1", "eu-1", "ap-1", "ap-1"});
    startFleet(fleet, {"eu"});
    fleet.cut(0, Cut::Refusing);
    fleet.run(0, "notice", "/safe/x");
    REQUIRE_FALSE(fleet.status(0)["partition"].is_null());
    constexpr int requestCount = 20;
    for (int i = 0; i < requestCount; ++i) {
        CHECK(fleet.run(0, "id-" + std::to_string(i), i % 2 == 0 ? "/once/x" : "/stream/x")->status() == 200);
    }
    const nlohmann::json relayed = fleet.status(0)["relayed_requests"];
    CHECK(relayed.value("g1", 0) >= requestCount);
    // The requests of the route without homes may go to any peer.
    CHECK(relayed.value("g2", 0) + relayed.value("g3", 0) <= 1);
}
