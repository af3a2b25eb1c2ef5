// Checks that a resumed stream goes on after the event that its caller names, whatever numbers the ids are.
#include "gatewayfixture.h"

#include "framework/httpwire/messagewriter.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** Three consecutive ids. */
struct ConsecutiveIds
{
    std::string first;
    std::string second;
    std::string third;
};

/** Ids from 0, from a counter, around 2^53 and 2^64, and from a time stamp in 63 bits. */
const std::vector<ConsecutiveIds> consecutiveIds{{"0", "1", "2"}, {"12", "13", "14"},
    {"9007199254740992", "9007199254740993", "9007199254740994"},
    {"7402527129600000003", "7402527129600000004", "7402527129600000005"},
    {"18446744073709551614", "18446744073709551615", "18446744073709551616"},
    {"99999999999999999999", "100000000000000000000", "100000000000000000001"}};

std::string event(const std::string &id)
{
    return "id: " + id + "\ndata: e" + id + "\n\n";
}

void respondWithEvents(Connection &connection, const std::string &request, const std::vector<std::string> &ids)
{
    std::string bytes = eventStreamHead(request);
    for (const std::string &it : ids) {
        bytes += httpwire::writeChunk(event(it));
    }
    connection.send(bytes + "0\r\n\r\n");
}

void runResumedRequest(GatewayFixture &fixture, const std::string &lastEventId, RouteKind kind = RouteKind::Stream)
{
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Last-Event-Id", lastEventId);
    const auto exchange = fixture.beginRequest(fixture.makeRoute(kind), head, "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
}

} // namespace

TEST_CASE("the upstream of a stream that its caller resumes gets the id that the caller has named")
{
    const ConsecutiveIds ids = GENERATE(from_range(consecutiveIds));
    INFO(ids.second);
    GatewayFixture fixture;
    const ScriptedUpstream &upstream
        = fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
              respondWithEvents(connection, request, {ids.second, ids.third});
          });
    runResumedRequest(fixture, ids.first);
    REQUIRE(upstream.requests.size() == 1);
    CHECK(headerField(upstream.requests.front(), "Last-Event-Id") == ids.first);
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == event(ids.second) + event(ids.third));
}

TEST_CASE("events that the caller of a resumed stream already has do not come twice when its upstream begins anew")
{
    const ConsecutiveIds ids = GENERATE(from_range(consecutiveIds));
    INFO(ids.second);
    GatewayFixture fixture;
    fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
        respondWithEvents(connection, request, {ids.first, ids.second, ids.third});
    });
    runResumedRequest(fixture, ids.second);
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == event(ids.third));
}

TEST_CASE("a stream that breaks off goes on at the next upstream after the event that was passed on last")
{
    const ConsecutiveIds ids = GENERATE(from_range(consecutiveIds));
    INFO(ids.second);
    GatewayFixture fixture;
    std::vector<std::string> lastEventIds;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        lastEventIds.push_back(headerField(request, "Last-Event-Id"));
        if (lastEventIds.size() == 1) {
            connection.send(eventStreamHead(request) + httpwire::writeChunk(event(ids.first))
                + httpwire::writeChunk(event(ids.second)));
            connection.close();
            return;
        }
        respondWithEvents(connection, request, {ids.second, ids.third});
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(lastEventIds == std::vector<std::string>{"", ids.second});
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == event(ids.first) + event(ids.second) + event(ids.third));
}

TEST_CASE("an id that is no number reaches the upstream as the caller has sent it")
{
    const std::string id = GENERATE("-1", "1.5", "1e3", "a7", "0x10", "piece 7");
    const RouteKind kind = GENERATE(RouteKind::Stream, RouteKind::Idempotent);
    INFO(id);
    GatewayFixture fixture;
    const ScriptedUpstream &upstream
        = fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
              respondWithEvents(connection, request, {"0", "1"});
          });
    runResumedRequest(fixture, id, kind);
    REQUIRE(upstream.requests.size() == 1);
    CHECK(headerField(upstream.requests.front(), "Last-Event-Id") == id);
    CHECK(fixture.response.body == event("0") + event("1"));
}

TEST_CASE("a caller that resumes a stream whose ids do not count its events is not taken to be near its end")
{
    // The whole response takes 3 s, twice the time that is left.
    GatewayFixture fixture;
    const ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              respondWithEvents(connection, request, {"7402527129600000001"});
          });
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.stepsPerPass = 10;
    engine.stepMs = 5;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.remove("Deadline");
    head.fields.add("Deadline", "1500");
    head.fields.add("Tokens", "100,600");
    head.fields.add("Last-Event-Id", "7402527129600000000");
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
    CHECK(fixture.response.head.status == 503);
    CHECK(upstream.requests.empty());
}
