// Checks that upstreams in an evacuated data centre get no new request by any way, and that their streams end in peace.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include "fleet/extensioncodec.h"
#include "gateway/internal/evacuationrecord.h"
#include "gateway/internal/evacuations.h"
#include "gateway/internal/relayprotocol.h"

#include <catch2/catch.hpp>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** Specified time after which no request reaches an evacuated data centre (`EvacuateMs`). */
constexpr Milliseconds evacuationTime{5000};

const DataCentreId evacuated("evacuated");

void respondOk(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(plainResponse(request, 200, "ok"));
}

void respondWithEvents(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(eventStreamHead(request) + eventChunk(1) + eventChunk(2) + "0\r\n\r\n");
}

/** Breaks the connection after the first event. */
void breakOff(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(eventStreamHead(request) + eventChunk(1));
    connection.close();
}

void evacuate(GatewayFixture &fixture, const DataCentreId &dataCentre = evacuated)
{
    fixture.context.evacuatedSince[dataCentre] = fixture.loop.now();
}

/** Makes the upstreams engines whose memory holds 1000 tokens. */
void makeSmallEngines(GatewayFixture &fixture)
{
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
}

httpwire::RequestHead makeLargeRequest(const GatewayFixture &fixture)
{
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    return head;
}

bool isOrder(const std::string &request)
{
    return request.starts_with("POST /order");
}

void runToEnd(GatewayFixture &fixture)
{
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.isFinished());
}

void checkNotRun(const RecordedResponse &response)
{
    CHECK(response.head.status == 503);
    CHECK(response.head.fields.has("Retry-After"));
}

} // namespace

TEST_CASE("first attempts do not reach an evacuated data centre")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk, "a");
    fixture.addUpstream("service", respondOk, "b");
    // Without evacuations one of the two gets all requests that come one after the other.
    const std::size_t excluded = GENERATE(0, 1);
    evacuate(fixture, DataCentreId(excluded == 0 ? "a" : "b"));
    constexpr int requestCount = 20;
    for (int i = 0; i < requestCount; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
    CHECK(fixture.upstreams[excluded]->requests.empty());
    CHECK(fixture.upstreams[1 - excluded]->requests.size() == requestCount);
}

TEST_CASE("a retry does not reach an evacuated data centre")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk, "evacuated");
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 503, {}, "Not-Executed: 1\r\n"));
    });
    evacuate(fixture);
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    CHECK(fixture.upstreams[0]->requests.empty());
    CHECK(fixture.upstreams[1]->requests.size() == 1);
    checkNotRun(fixture.response);
}

TEST_CASE("a stream is not resumed in an evacuated data centre")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondWithEvents, "evacuated");
    fixture.addUpstream("service", breakOff);
    evacuate(fixture);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.upstreams[0]->requests.empty());
    CHECK(fixture.response.isAborted);
}

TEST_CASE("a stream that may only go on where it has run does not go on in a data centre that was evacuated meanwhile")
{
    GatewayFixture fixture;
    fixture.addUpstream(
        "service",
        [&](Connection &connection, const std::string &request, int number) {
            evacuate(fixture);
            breakOff(connection, request, number);
        },
        "evacuated");
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    route.maxAttempts = 1;
    fixture.runRequest(route);
    CHECK(fixture.upstreams[0]->requests.size() == 1);
    CHECK(fixture.response.isAborted);
}

TEST_CASE("a stream whose data centre is evacuated goes on elsewhere after it breaks off")
{
    GatewayFixture fixture;
    for (const char *const dataCentre : {"evacuated", "here"}) {
        fixture.addUpstream(
            "service",
            [&](Connection &connection, const std::string &request, int number) {
                if (headerField(request, "Last-Event-Id").empty()) {
                    // The first upstream of the stream.
                    for (const auto &[name, record] : fixture.upstreamRecords) {
                        if (headerField(request, "Expected-Upstream") == record.entry.id.value()) {
                            evacuate(fixture, record.entry.dataCentre);
                        }
                    }
                    breakOff(connection, request, number);
                    return;
                }
                connection.send(eventStreamHead(request) + eventChunk(2) + "0\r\n\r\n");
            },
            dataCentre);
    }
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.upstreams[0]->requests.size() == 1);
    CHECK(fixture.upstreams[1]->requests.size() == 1);
    CHECK(fixture.response.isComplete);
}

TEST_CASE("a stream in a data centre that is evacuated meanwhile ends in peace")
{
    GatewayFixture fixture;
    std::shared_ptr<Connection> open;
    fixture.addUpstream(
        "service",
        [&](Connection &connection, const std::string &request, int /*number*/) {
            connection.send(eventStreamHead(request) + eventChunk(1));
            open = connection.shared_from_this();
        },
        "evacuated");
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return !fixture.response.body.empty();
    });
    evacuate(fixture);
    CHECK(requestsInDataCentre(fixture.context, evacuated) == 1);
    open->send(eventChunk(2) + "0\r\n\r\n");
    runToEnd(fixture);
    CHECK(fixture.response.isComplete);
    CHECK(requestsInDataCentre(fixture.context, evacuated) == 0);
}

TEST_CASE("engines in an evacuated data centre neither help nor reserve memory for new prompts")
{
    GatewayFixture fixture;
    const auto script = [](Connection &connection, const std::string &request, int number) {
        if (isOrder(request)) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else {
            respondWithEvents(connection, request, number);
        }
    };
    fixture.addUpstream("service", script, "evacuated");
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    makeSmallEngines(fixture);
    evacuate(fixture);
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), makeLargeRequest(fixture), "body");
    runToEnd(fixture);
    CHECK(fixture.response.isComplete);
    CHECK(fixture.upstreams[0]->requests.empty());
    for (const auto &it : fixture.upstreams) {
        for (const std::string &request : it->requests) {
            CHECK(headerField(request, "Helpers").find(fixture.upstreams[0]->address()) == std::string::npos);
        }
    }
}

TEST_CASE("a request whose memory is being reserved is not sent if its engine or a helper is evacuated meanwhile")
{
    GatewayFixture fixture;
    std::string reservedAt;
    const auto script = [&](Connection &connection, const std::string &request, int number) {
        if (!isOrder(request)) {
            respondWithEvents(connection, request, number);
            return;
        }
        fixture.loop.after(Milliseconds(100), [stream = connection.stream] {
            stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        });
    };
    const bool isHelperEvacuated = GENERATE(false, true);
    const std::vector<std::string> dataCentres{"a", "b"};
    for (const std::string &it : dataCentres) {
        fixture.addUpstream("service", script, it);
    }
    makeSmallEngines(fixture);
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), makeLargeRequest(fixture), "body");
    fixture.runUntil([&] {
        return !fixture.upstreams[0]->requests.empty() || !fixture.upstreams[1]->requests.empty();
    });
    // Of the two engines the helper has an order, and the other one would get the request.
    const std::size_t helper = fixture.upstreams[0]->requests.empty() ? 1 : 0;
    evacuate(fixture, DataCentreId(dataCentres[isHelperEvacuated ? helper : 1 - helper]));
    runToEnd(fixture);
    for (const auto &it : fixture.upstreams) {
        for (const std::string &request : it->requests) {
            CHECK(isOrder(request));
        }
    }
    checkNotRun(fixture.response);
}

TEST_CASE("a request whose connection is being opened is not sent if its data centre is evacuated meanwhile")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk, "evacuated");
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::AtMostOnce), fixture.makeRequest("id-1"), "body");
    evacuate(fixture);
    runToEnd(fixture);
    CHECK(fixture.upstreams[0]->requests.empty());
    checkNotRun(fixture.response);
}

TEST_CASE("a relayed request does not reach an evacuated data centre")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk, "evacuated");
    evacuate(fixture);
    const catalogue::Route route = fixture.makeRoute(RouteKind::AtMostOnce);
    RecordedResponse response;
    const auto exchange = std::make_shared<Exchange>(fixture.context, route, std::nullopt, fixture.makeRequest("id-1"),
        "body", fixture.loop.now(), RelayOrigin{"other", Milliseconds(1), 1}, response);
    exchange->start();
    fixture.runUntil([&] {
        return response.isFinished();
    });
    CHECK(fixture.upstreams[0]->requests.empty());
    checkNotRun(response);
    CHECK(response.head.fields.has("Magnolia-Relay-Not-Run"));
}

TEST_CASE("of three data centres two can be evacuated at once")
{
    GatewayFixture fixture;
    for (const char *const dataCentre : {"a", "b", "c"}) {
        fixture.addUpstream("service", respondOk, dataCentre);
    }
    evacuate(fixture, DataCentreId("a"));
    evacuate(fixture, DataCentreId("c"));
    constexpr int requestCount = 12;
    for (int i = 0; i < requestCount; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
    }
    CHECK(fixture.upstreams[1]->requests.size() == requestCount);
    // One evacuation ends and another one begins.
    updateEvacuations(fixture.context, {{DataCentreId("b"), {}}, {DataCentreId("c"), {}}}, "store");
    for (int i = 0; i < requestCount; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "later-" + std::to_string(i));
    }
    CHECK(fixture.upstreams[0]->requests.size() == requestCount);
    CHECK(fixture.upstreams[1]->requests.size() == requestCount);
    CHECK(fixture.upstreams[2]->requests.empty());
}

TEST_CASE("a request is refused as not run with Retry-After while all data centres are evacuated")
{
    GatewayFixture fixture;
    const RouteKind kind = GENERATE(RouteKind::AtMostOnce, RouteKind::Stream);
    fixture.addUpstream("service", respondOk, "a");
    fixture.addUpstream("service", respondOk, "b");
    if (kind == RouteKind::Stream) {
        makeSmallEngines(fixture);
    }
    evacuate(fixture, DataCentreId("a"));
    evacuate(fixture, DataCentreId("b"));
    fixture.runRequest(fixture.makeRoute(kind));
    checkNotRun(fixture.response);
    CHECK(fixture.upstreams[0]->requests.empty());
    CHECK(fixture.upstreams[1]->requests.empty());
}

namespace
{

constexpr std::size_t gatewayCount = 3;

/** Three gateways before two upstreams of each service, one in "a" and one in "b". */
void startFleet(GatewayFleet &fleet)
{
    for (const char *const dataCentre : {"a", "b"}) {
        fleet.addUpstream("app", respondOk, dataCentre);
        fleet.addUpstream("engine", respondWithEvents, dataCentre);
    }
    fleet.start();
}

bool hasEvacuation(GatewayFleet &fleet, std::size_t gateway)
{
    return !fleet.status(gateway)["evacuations"].empty();
}

bool haveAllEvacuation(GatewayFleet &fleet, bool isExpected)
{
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        if (hasEvacuation(fleet, i) != isExpected) {
            return false;
        }
    }
    return true;
}

/** Sends requests of all kinds to all gateways; returns how many reached the upstreams in "a". */
std::size_t countRequestsInA(GatewayFleet &fleet, const std::string &idPrefix)
{
    const auto count = [&] {
        std::size_t sum = 0;
        for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
            sum += fleet.upstream(gateway, 0).requests.size() + fleet.upstream(gateway, 1).requests.size();
        }
        return sum;
    };
    const std::size_t before = count();
    for (std::size_t gateway = 0; gateway < gatewayCount; ++gateway) {
        int number = 0;
        for (const char *const path : {"/once/x", "/safe/x", "/stream/x", "/once/y", "/stream/y", "/safe/y"}) {
            const std::string id = idPrefix + std::to_string(gateway) + '-' + std::to_string(number++);
            CHECK(fleet.run(gateway, id, path)->status() == 200);
        }
    }
    return count() - before;
}

} // namespace

TEST_CASE("all instances obey an evacuation within its time and use the data centre again after its end")
{
    GatewayFleet fleet({"a", "b", "b"});
    startFleet(fleet);
    fleet.setEvacuated("a", true);
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, true);
        },
        evacuationTime));
    CHECK(countRequestsInA(fleet, "during") == 0);
    const nlohmann::json row = fleet.status(1)["evacuations"][0];
    CHECK(row["data_centre"] == "a");
    CHECK(row["since_ms_ago"] >= 0);
    CHECK(row["requests"] == 0);
    CHECK(fleet.metrics(1).find("magnolia_gateway_evacuated_data_centres 1") != std::string::npos);
    fleet.setEvacuated("a", false);
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, false);
        },
        evacuationTime));
    CHECK(countRequestsInA(fleet, "after") > 0);
}

TEST_CASE("an instance that the store refuses learns the start and the end of an evacuation from its peers")
{
    GatewayFleet fleet({"a", "b", "b"});
    startFleet(fleet);
    fleet.setStoreRefusing(0, true);
    fleet.runFor(Milliseconds(50));
    REQUIRE_FALSE(fleet.status(0)["store_reached"]);
    fleet.setEvacuated("a", true);
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, true);
        },
        evacuationTime));
    CHECK(countRequestsInA(fleet, "during") == 0);
    fleet.setEvacuated("a", false);
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, false);
        },
        evacuationTime));
    CHECK_FALSE(fleet.status(0)["store_reached"]);
}

TEST_CASE("an instance that is cut from all upstreams has its requests run outside an evacuated data centre")
{
    GatewayFleet fleet({"a", "b", "b"});
    startFleet(fleet);
    fleet.setEvacuated("a", true);
    REQUIRE(fleet.runUntil([&] {
        return haveAllEvacuation(fleet, true);
    }));
    fleet.cut(0, Cut::Refusing);
    // The first request shows that the upstreams cannot be reached.
    fleet.run(0, "notice", "/safe/x");
    CHECK(countRequestsInA(fleet, "cut") == 0);
}

TEST_CASE("an evacuation that only the extension record of a peer states is obeyed and ended")
{
    GatewayFleet fleet({"a", "b", "b"});
    startFleet(fleet);
    Poco::Net::DatagramSocket socket;
    const auto send = [&](const std::string &bytes) {
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(fleet.peerAddress(0)));
    };
    fleet::PeerMessage hello;
    hello.instance = "other";
    hello.dataCentre = "b";
    hello.incarnation = 1;
    hello.sequence = 1;
    hello.address = {"127.0.0.1", 1};
    hello.callerAddress = "127.0.0.1:1";
    send(peerlink::encode(hello));
    std::uint64_t sequence = 0;
    const auto state = [&](std::uint64_t revision, bool isEnded) {
        fleet::ExtensionMessage message;
        message.instance = hello.instance;
        message.incarnation = hello.incarnation;
        message.sequence = ++sequence;
        message.records
            = {fleet::encodeRecord(fleet::extensiontags::evacuation, EvacuationRecord{"a", 0, revision, isEnded})};
        send(fleet::encodeExtension(message));
    };
    constexpr std::uint64_t laterRevision = 1000;
    state(laterRevision, false);
    // The first gateway passes it on to the others.
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, true);
        },
        evacuationTime));
    CHECK(countRequestsInA(fleet, "during") == 0);
    state(laterRevision + 1, true);
    CHECK(fleet.runUntil(
        [&] {
            return haveAllEvacuation(fleet, false);
        },
        evacuationTime));
}
