// What callers get, and what upstreams are asked, when upstreams do well and when they do not.
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

void answerOk(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(plainAnswer(request, 200, "ok"));
}

void answerStream(Connection &connection, const std::string &request, int from, int to)
{
    std::string bytes = streamHead(request);
    for (int id = from; id <= to; ++id) {
        bytes += eventChunk(id);
    }
    connection.send(bytes + "0\r\n\r\n");
}

std::string eventsText(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    }
    return text;
}

int totalRequests(const GatewayFixture &fixture)
{
    int total = 0;
    for (const auto &it : fixture.upstreams) {
        total += static_cast<int>(it->requests.size());
    }
    return total;
}

} // namespace

TEST_CASE("a request reaches its upstream unchanged but for what the system sets")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream = fixture.addUpstream("service", answerOk);
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    REQUIRE(upstream.requests.size() == 1);
    const std::string &sent = upstream.requests.front();
    CHECK(sent.starts_with("POST /path/x?y=1 HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\nbody"));
    CHECK(fieldOf(sent, "Request-Id") == "id-1");
    CHECK(fieldOf(sent, "Authorization").empty());
    CHECK(fieldOf(sent, "Organisation") == "acme");
    CHECK(fieldOf(sent, "Expected-Upstream") == "u1");
    CHECK(fieldOf(sent, "Helpers").empty());
    CHECK(fieldOf(sent, "X-Hop").empty());
    CHECK(fieldOf(sent, "X-Kept") == "2");
    CHECK(std::stoi(fieldOf(sent, "Deadline")) <= 4000);
    CHECK(fixture.answer.head.status == 200);
    CHECK(fixture.answer.body == "ok");
    CHECK(fixture.answer.head.fields.value("Response-Signature") == "s");
}

TEST_CASE("work that may run once is never sent again once bytes have left")
{
    const auto breaks = GENERATE(0, 1, 2, 3);
    GatewayFixture fixture;
    const auto script = [breaks](Connection &connection, const std::string &request, int /*number*/) {
        const std::string whole = plainAnswer(request, 200, "result");
        if (breaks == 0) {
            connection.reset();
        } else if (breaks == 1) {
            connection.send(whole.substr(0, whole.size() - 2));
            connection.close();
        } else if (breaks == 2) {
            connection.send("no answer at all\r\n\r\n");
        } else {
            connection.send(plainAnswer(request, 500, "failed"));
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(totalRequests(fixture) == 1);
    CHECK(fixture.answer.head.status == (breaks == 3 ? 500 : 502));
    CHECK_FALSE(fixture.answer.head.fields.has("Retry-After"));
}

TEST_CASE("work that may run once goes on a connection of its own")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream = fixture.addUpstream("service", answerOk);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-2");
    CHECK(upstream.connections == 2);
}

TEST_CASE("streams that may be resumed share kept connections")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              answerStream(connection, request, 1, 2);
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.answer.isWhole);
    CHECK(upstream.connections == 1);
}

TEST_CASE("a stream whose kept connection has ended unnoticed goes on elsewhere")
{
    GatewayFixture fixture;
    int streams = 0;
    const auto script = [&streams](Connection &connection, const std::string &request, int /*number*/) {
        if (++streams == 2) {
            connection.reset();
            return;
        }
        answerStream(connection, request, 1, 2);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.answer.isWhole);
    CHECK(fixture.answer.body == eventsText(1, 2));
}

TEST_CASE("a refusal that proves that nothing ran may be tried elsewhere, also for work that may run once")
{
    GatewayFixture fixture;
    int refused = 0;
    const auto script = [&refused](Connection &connection, const std::string &request, int /*number*/) {
        if (refused++ == 0) {
            connection.send(plainAnswer(request, 503, "", "Not-Executed: 1\r\n"));
            return;
        }
        connection.send(plainAnswer(request, 200, "ok"));
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.answer.head.status == 200);
    CHECK(totalRequests(fixture) == 2);
}

TEST_CASE("a caller is told that nothing ran, and when to come back, only where that is proved")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainAnswer(request, 503, "", "Not-Executed: 1\r\n"));
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.answer.head.status == 503);
    CHECK(std::stod(std::string(fixture.answer.head.fields.value("Retry-After"))) > 0);

    GatewayFixture unproved;
    unproved.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainAnswer(request, 503, "", ""));
    });
    unproved.runRequest(unproved.makeRoute(RouteKind::AtMostOnce));
    CHECK(unproved.answer.head.status == 502);
}

TEST_CASE("an upstream that cannot be reached is passed over")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", answerOk).stopListening();
    fixture.addUpstream("service", answerOk);
    for (int i = 0; i < 4; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.answer.head.status == 200);
    }
}

TEST_CASE("an idempotent request is repeated after a failure, within its route's attempts")
{
    GatewayFixture fixture;
    const auto failing = [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainAnswer(request, 500, "failed"));
    };
    for (int i = 0; i < 4; ++i) {
        fixture.addUpstream("service", failing);
    }
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    CHECK(totalRequests(fixture) == 2);
    CHECK(fixture.answer.head.status == 500);
    CHECK(fixture.answer.head.fields.value("Response-Signature") == "s");
}

TEST_CASE("an answer without signature, encoded, cut short or of another request never reaches the caller")
{
    const auto fault = GENERATE(0, 1, 2, 3, 4);
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&count, fault](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ > 0) {
            connection.send(plainAnswer(request, 200, "right"));
            return;
        }
        const std::string whole = plainAnswer(request, 200, "wrong");
        switch (fault) {
        case 0:
            connection.send(plainAnswer(request, 200, "wrong", ""));
            break;
        case 1:
            connection.send(plainAnswer(request, 200, "wrong", "Response-Signature: s\r\nContent-Encoding: gzip\r\n"));
            break;
        case 2:
            connection.send(whole.substr(0, whole.size() - 1));
            connection.close();
            break;
        case 3:
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n\r\nwrong");
            connection.close();
            break;
        default:
            // An answer to an earlier request, and then the one that is due.
            connection.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
                + plainAnswer(request, 200, "right"));
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    CHECK(fixture.answer.head.status == 200);
    CHECK(fixture.answer.body == "right");
}

TEST_CASE("a connection on which bytes came that nobody asked for is not used again")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(
                  streamHead(request) + eventChunk(1) + "0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    CHECK(fixture.answer.body == eventsText(1, 1));
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.answer.body == eventsText(1, 1));
    CHECK(upstream.connections == 2);
}

TEST_CASE("events are passed on whole, and the stream ends as its upstream ended it")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        answerStream(connection, request, 1, 5);
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.answer.isWhole);
    CHECK(fixture.answer.body == eventsText(1, 5));
}

TEST_CASE("a stream that breaks off in an event goes on at another upstream, without a gap or a repetition")
{
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&count](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            const std::string bytes = streamHead(request) + eventChunk(1) + eventChunk(2) + eventChunk(3);
            connection.send(bytes.substr(0, bytes.size() - 6));
            connection.close();
            return;
        }
        CHECK(fieldOf(request, "Last-Event-Id") == "2");
        answerStream(connection, request, 3, 4);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.answer.isWhole);
    CHECK(fixture.answer.body == eventsText(1, 4));
    CHECK(fixture.answer.head.fields.value("Response-Signature") == "first");
    CHECK(fixture.upstreams[0]->requests.size() == 1);
    CHECK(fixture.upstreams[1]->requests.size() == 1);
}

TEST_CASE("a stream that may not be resumed and breaks off looks broken, and runs once")
{
    GatewayFixture fixture;
    const auto script = [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(streamHead(request) + eventChunk(1));
        connection.close();
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    route.isResumable = false;
    fixture.runRequest(route);
    CHECK(fixture.answer.isBrokenOff);
    CHECK_FALSE(fixture.answer.isWhole);
    CHECK(totalRequests(fixture) == 1);
}

TEST_CASE("a stream whose end only its connection tells is not taken for whole")
{
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&count](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + fieldOf(request, "Request-Id")
                + "\r\nResponse-Signature: s\r\n\r\nid: 1\ndata: e1\n\n");
            connection.close();
            return;
        }
        answerStream(connection, request, 2, 3);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.answer.isWhole);
    CHECK(fixture.answer.body == eventsText(1, 3));
}

TEST_CASE("when the caller leaves, the upstream's connection is ended and nothing more is sent")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(streamHead(request) + eventChunk(1));
          });
    const auto exchange = fixture.begin(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return !fixture.answer.body.empty();
    });
    CHECK(fixture.context.board.size() == 1);
    exchange->cancel();
    CHECK(fixture.context.board.size() == 0);
    fixture.runUntil([&] {
        return upstream.ended == 1;
    });
    CHECK(upstream.ended == 1);
    CHECK(upstream.requests.size() == 1);
    CHECK_FALSE(fixture.answer.isWhole);
}

TEST_CASE("a request that is not answered in its route's time is given up")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &, const std::string &, int) {});
    catalogue::Route route = fixture.makeRoute(RouteKind::AtMostOnce);
    route.timeout = Milliseconds(150);
    fixture.runRequest(route);
    CHECK(fixture.answer.head.status == 504);
    CHECK(totalRequests(fixture) == 1);
}

TEST_CASE("a leaving upstream gets no request")
{
    GatewayFixture fixture;
    ScriptedUpstream &leaving = fixture.addUpstream("service", answerOk);
    fixture.addUpstream("service", answerOk);
    fixture.held["u1"].entry.isLeaving = true;
    fixture.context.upstreams.rebuild(fixture.held, fixture.settings.dataCentre);
    for (int i = 0; i < 6; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent), "id-" + std::to_string(i));
        CHECK(fixture.answer.head.status == 200);
    }
    CHECK(leaving.requests.empty());
}

TEST_CASE("memory for a prompt beyond one engine is set aside, used and given back")
{
    GatewayFixture fixture;
    std::vector<std::string> orders;
    const auto script = [&orders](Connection &connection, const std::string &request, int /*number*/) {
        if (request.starts_with("POST /order")) {
            orders.push_back(request.substr(request.find("\r\n\r\n") + 4));
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        CHECK(fieldOf(request, "Helpers").find('/') != std::string::npos);
        answerStream(connection, request, 1, 2);
    };
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", script);
    }
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const auto exchange = fixture.begin(route, head, "body");
    fixture.runUntil([&] {
        return fixture.answer.isOver() && orders.size() >= 2 && orders.back().starts_with("release");
    });
    CHECK(fixture.answer.isWhole);
    REQUIRE(orders.size() >= 2);
    CHECK(orders.front().starts_with("reserve self-"));
    CHECK(orders.back() == "release" + orders.front().substr(7));
}

TEST_CASE("where one engine refuses the memory, all of it is given back and the caller may come again")
{
    GatewayFixture fixture;
    std::vector<std::string> orders;
    const auto script = [&orders](Connection &connection, const std::string &request, int number) {
        CHECK(request.starts_with("POST /order"));
        orders.push_back(request.substr(request.find("\r\n\r\n") + 4));
        const bool isRefused = orders.size() == 1;
        static_cast<void>(number);
        connection.send(
            std::string(isRefused ? "HTTP/1.1 409 Conflict" : "HTTP/1.1 200 OK") + "\r\nContent-Length: 0\r\n\r\n");
    };
    for (int i = 0; i < 4; ++i) {
        fixture.addUpstream("service", script);
    }
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "2400,20");
    const auto exchange = fixture.begin(fixture.makeRoute(RouteKind::Stream), head, "body");
    fixture.runUntil([&] {
        return fixture.answer.isOver();
    });
    CHECK(fixture.answer.head.status == 503);
    CHECK(fixture.answer.head.fields.has("Retry-After"));
}

TEST_CASE("a stopping process takes only what surely ends in its time, and refuses the rest as not run")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        answerStream(connection, request, 1, 2);
    });
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.stepsPerPass = 10;
    engine.stepMs = 5;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    // The caller expects 100 tokens and allows 600: half a second, or up to three.
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "100,600");
    head.fields.add("Output-Estimate", "100");
    fixture.context.stopAt = fixture.loop.now() + Milliseconds(3500);

    fixture.context.strictStopFrom = fixture.loop.now() + Milliseconds(3000);
    const auto early = fixture.begin(route, head, "body");
    fixture.runUntil([&] {
        return fixture.answer.isOver();
    });
    CHECK(fixture.answer.head.status == 200);

    fixture.context.strictStopFrom = fixture.loop.now();
    const auto late = fixture.begin(route, head, "body");
    CHECK(fixture.answer.head.status == 503);
    CHECK(fixture.answer.head.fields.has("Retry-After"));
    CHECK(totalRequests(fixture) == 1);

    const auto plain = fixture.begin(fixture.makeRoute(RouteKind::AtMostOnce), fixture.makeRequest("id-2"), "body");
    CHECK(fixture.answer.head.status == 503);
    CHECK(totalRequests(fixture) == 1);
}

TEST_CASE("an upstream's silence ends no answer that cannot go on elsewhere")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(streamHead(request) + eventChunk(1));
          });
    const auto exchange = fixture.begin(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    // Longer than the silence after which it would be moved.
    fixture.runUntil(
        [&] {
            return fixture.answer.isOver();
        },
        Milliseconds(2800));
    CHECK_FALSE(fixture.answer.isOver());
    CHECK(upstream.requests.size() == 1);
    // One connection for the request, and at most three that tested the silence.
    CHECK(upstream.connections <= 4);
}

TEST_CASE("a silent stream is not ended for an upstream that may not run it any more")
{
    // The route allows two upstreams. The first breaks off and is gone; the second falls silent. A third is idle, but
    // would be one too many, so that the second is waited for.
    GatewayFixture fixture;
    int served = 0;
    const auto script = [&served](Connection &connection, const std::string &request, int /*number*/) {
        ++served;
        connection.send(streamHead(request) + eventChunk(served));
        if (served == 1) {
            connection.close();
        }
    };
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", script);
    }
    const auto exchange = fixture.begin(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return served == 2;
    });
    for (std::size_t i = 0; i < fixture.upstreams.size(); ++i) {
        const auto &requests = fixture.upstreams[i]->requests;
        if (!requests.empty() && fieldOf(requests.front(), "Last-Event-Id").empty()) {
            fixture.held.erase("u" + std::to_string(i + 1));
        }
    }
    fixture.context.upstreams.rebuild(fixture.held, fixture.settings.dataCentre);
    REQUIRE(fixture.context.upstreams.size() == 2);
    fixture.runUntil(
        [&] {
            return fixture.answer.isOver() || served > 2;
        },
        Milliseconds(2800));
    CHECK_FALSE(fixture.answer.isOver());
    CHECK(served == 2);
}
