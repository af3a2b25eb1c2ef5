// Checks that waits, refusals and the order at engines follow from the time that callers have and the work that is
// left.
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

constexpr int engineSlots = 16;

void respondWithStream(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(eventStreamHead(request) + eventChunk(1) + eventChunk(2) + "0\r\n\r\n");
}

catalogue::EngineModel makeEngine()
{
    catalogue::EngineModel engine;
    engine.slots = engineSlots;
    engine.kvCapacityTokens = 405'000;
    engine.stepsPerPass = 34;
    engine.stepMs = 1.31;
    engine.prefillTokensPerMs = 154;
    engine.chunkTokens = 2048;
    return engine;
}

struct EngineFixture : GatewayFixture
{
    EngineFixture()
    {
        addUpstream("service", respondWithStream);
        catalogue->services["service"].engine = makeEngine();
    }

    catalogue::Route makeStream(Milliseconds latencyTarget) const
    {
        catalogue::Route stream = makeRoute(RouteKind::Stream);
        stream.latencyTarget = latencyTarget;
        stream.gapTarget = Milliseconds(250);
        return stream;
    }

    httpwire::RequestHead makePrompt(const std::string &deadlineMs, const std::string &tokens = "960,340") const
    {
        httpwire::RequestHead head = makeRequest("id-1");
        head.fields.remove("Deadline");
        head.fields.add("Deadline", deadlineMs);
        head.fields.add("Tokens", tokens);
        return head;
    }

    /** Sends a request, runs until its end and returns the priority that its engine was given; -1 if it got none. */
    int priorityOf(const catalogue::Route &theRoute, const std::string &deadlineMs)
    {
        const std::size_t before = upstreams.front()->requests.size();
        catalogue->routesByHost.try_emplace("host.example", std::vector{theRoute});
        const auto exchange = beginRequest(theRoute, makePrompt(deadlineMs), "body");
        runUntil([&] {
            return response.isFinished();
        });
        return upstreams.front()->requests.size() == before
            ? -1
            : std::stoi(headerField(upstreams.front()->requests.back(), "Engine-Priority"));
    }

    /** Registers requests of a peer that are being answered by the first upstream. */
    void addRunningRequests(int count)
    {
        for (int i = 0; i < count; ++i) {
            placement::Placement running;
            running.id = static_cast<placement::PlacementId>(i) + 1;
            running.primary = UpstreamIndex::keyOf(UpstreamId("u1"));
            running.promptTokens = 960;
            running.outputTokens = 1266;
            running.gapTarget = Milliseconds(250);
            running.placedAt = loop.now();
            running.isDecoding = true;
            context.placements.put("peer", running, loop.now());
        }
    }

    [[nodiscard]] double retryAfter() const
    {
        return std::stod(std::string(response.head.fields.value("Retry-After")));
    }
};

} // namespace

TEST_CASE("a caller with a shorter deadline than others of its route is not put behind them")
{
    // Guards against the guess that a short deadline marks a repeat, which the engine admitted last.
    EngineFixture fixture;
    const catalogue::Route route = fixture.makeStream(Milliseconds(300));
    const int first = fixture.priorityOf(route, "10000");
    REQUIRE(first >= 0);
    CHECK(fixture.priorityOf(route, "7000") <= first);
    CHECK(fixture.priorityOf(route, "1500") < first);
}

TEST_CASE("callers who wait equally long are admitted alike, whatever the latency target of their route is")
{
    EngineFixture fixture;
    const int first = fixture.priorityOf(fixture.makeStream(Milliseconds(300)), "10000");
    CHECK(fixture.priorityOf(fixture.makeStream(Milliseconds(501)), "10000") == first);
}

TEST_CASE("the rank of a route counts before the time that its callers have")
{
    EngineFixture fixture;
    catalogue::Route urgent = fixture.makeStream(Milliseconds(300));
    urgent.priority = 1;
    catalogue::Route other = fixture.makeStream(Milliseconds(300));
    other.priority = 2;
    fixture.catalogue->routesByHost["host.example"] = {urgent, other};
    CHECK(fixture.priorityOf(urgent, "10000") < fixture.priorityOf(other, "1500"));
}

TEST_CASE("a caller who can be served in time is not refused because its latency target is out of reach")
{
    // Nine answers have to end first, which takes about 1.3 s. The caller leaves after 2 s without an event.
    EngineFixture fixture;
    fixture.addRunningRequests(engineSlots + 8);
    const auto exchange
        = fixture.beginRequest(fixture.makeStream(Milliseconds(300)), fixture.makePrompt("10000", "960,1266"), "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("a caller who would leave before its first event is told when it can be served")
{
    // The first event is predicted just after the 2 s for which the caller waits.
    EngineFixture fixture;
    fixture.addRunningRequests(engineSlots + 15);
    const auto exchange
        = fixture.beginRequest(fixture.makeStream(Milliseconds(300)), fixture.makePrompt("10000", "960,1266"), "body");
    REQUIRE(fixture.response.isFinished());
    CHECK(fixture.response.head.status == 503);
    CHECK(fixture.retryAfter() < 0.9);
}

TEST_CASE("a caller whose deadline is shorter than the work is refused at once and told no time to come back")
{
    EngineFixture fixture;
    const auto exchange
        = fixture.beginRequest(fixture.makeStream(Milliseconds(300)), fixture.makePrompt("1000", "960,1266"), "body");
    REQUIRE(fixture.response.isFinished());
    CHECK(fixture.response.head.status == 503);
    CHECK_FALSE(fixture.response.head.fields.has("Retry-After"));
    CHECK(fixture.upstreams.front()->requests.empty());
}

TEST_CASE("a caller who is refused for want of a retry comes back at once if another upstream is free")
{
    // The retry budget does not count requests of callers, so that the caller gains nothing by waiting.
    GatewayFixture fixture;
    for (int i = 0; i < 2; ++i) {
        fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
            connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
        });
    }
    limits::RetryBudget &budget = fixture.context.retryBudgets.of("service");
    budget.ratio = 0;
    budget.balance = 0;
    catalogue::Route route = fixture.makeRoute(RouteKind::Idempotent);
    route.latencyTarget = Milliseconds(3000);
    fixture.runRequest(route);
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) < 0.5);
}

TEST_CASE("a silent request is moved while another upstream can still answer in time, whatever the latency target is")
{
    const RouteKind kind = GENERATE(RouteKind::Idempotent, RouteKind::Stream);
    GatewayFixture fixture;
    int requestCount = 0;
    const auto script = [&](Connection &connection, const std::string &request, int number) {
        if (++requestCount == 1) {
            return;
        }
        if (kind == RouteKind::Stream) {
            respondWithStream(connection, request, number);
        } else {
            connection.send(plainResponse(request, 200, "ok"));
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    catalogue::Route route = fixture.makeRoute(kind);
    route.latencyTarget = Milliseconds(3000);
    fixture.runRequest(route);
    CHECK(requestCount == 2);
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("a request reaches the upstream that is left, however many others cannot be connected")
{
    // Guards against a limit on attempts that counts those in which nothing was sent. The order is random.
    const RouteKind kind = GENERATE(RouteKind::Idempotent, RouteKind::AtMostOnce);
    for (int order = 0; order < 20; ++order) {
        GatewayFixture fixture;
        for (int i = 0; i < 5; ++i) {
            fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
                connection.send(plainResponse(request, 200, "ok"));
            });
        }
        for (std::size_t i = 0; i < 4; ++i) {
            fixture.upstreams[i]->stopListening();
        }
        for (int i = 0; i < order; ++i) {
            static_cast<void>(fixture.context.random.next());
        }
        fixture.runRequest(fixture.makeRoute(kind));
        CHECK(fixture.response.head.status == 200);
    }
}
