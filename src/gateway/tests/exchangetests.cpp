// Checks the responses to callers and the requests to upstreams, with working and failing upstreams.
#include "gatewayfixture.h"

#include "gateway/internal/upstreamsignals.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** More than the buffers of a connection hold. */
constexpr std::size_t largeBodySize = 32 * 1024 * 1024;
/** Less than the system takes from its sender at once, and more than it does for a reader that stops early. */
constexpr std::size_t heldBodySize = 1024 * 1024;

void respondOk(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(plainResponse(request, 200, "ok"));
}

void respondWithEvents(Connection &connection, const std::string &request, int from, int to)
{
    std::string bytes = eventStreamHead(request);
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

/** Adds three engines, each with less memory than a prompt of 1600 tokens needs. */
void addSmallEngines(GatewayFixture &fixture, const ScriptedUpstream::Script &script)
{
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", script);
    }
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
}

int totalRequestCount(const GatewayFixture &fixture)
{
    int total = 0;
    for (const auto &it : fixture.upstreams) {
        total += static_cast<int>(it->requests.size());
    }
    return total;
}

} // namespace

TEST_CASE("a request is forwarded unchanged except for the header fields that the gateway sets")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream = fixture.addUpstream("service", respondOk);
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    REQUIRE(upstream.requests.size() == 1);
    const std::string &sent = upstream.requests.front();
    CHECK(sent.starts_with("POST /path/x?y=1 HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\nbody"));
    CHECK(headerField(sent, "Request-Id") == "id-1");
    CHECK(headerField(sent, "Authorization").empty());
    CHECK(headerField(sent, "Organisation") == "acme");
    CHECK(headerField(sent, "Expected-Upstream") == "u1");
    CHECK(headerField(sent, "Helpers").empty());
    CHECK(headerField(sent, "X-Hop").empty());
    CHECK(headerField(sent, "X-Kept") == "2");
    CHECK(std::stoi(headerField(sent, "Deadline")) <= 4000);
    CHECK(fixture.response.head.status == 200);
    CHECK(fixture.response.body == "ok");
    CHECK(fixture.response.head.fields.value("Response-Signature") == "s");
}

TEST_CASE("an at-most-once request is not retried after bytes of it have been sent")
{
    const auto breaks = GENERATE(0, 1, 2, 3);
    GatewayFixture fixture;
    const auto script = [breaks](Connection &connection, const std::string &request, int /*number*/) {
        const std::string completeResponse = plainResponse(request, 200, "result");
        if (breaks == 0) {
            connection.reset();
        } else if (breaks == 1) {
            connection.send(completeResponse.substr(0, completeResponse.size() - 2));
            connection.close();
        } else if (breaks == 2) {
            connection.send("no answer at all\r\n\r\n");
        } else {
            connection.send(plainResponse(request, 500, "failed"));
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(totalRequestCount(fixture) == 1);
    CHECK(fixture.response.head.status == (breaks == 3 ? 500 : 502));
    CHECK_FALSE(fixture.response.head.fields.has("Retry-After"));
}

TEST_CASE("each at-most-once request uses a new connection")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream = fixture.addUpstream("service", respondOk);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-2");
    CHECK(upstream.connections == 2);
}

TEST_CASE("resumable streams reuse pooled connections")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              respondWithEvents(connection, request, 1, 2);
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.response.isComplete);
    CHECK(upstream.connections == 1);
}

TEST_CASE("a resumable stream is retried when its reused connection is reset")
{
    GatewayFixture fixture;
    int streams = 0;
    const auto script = [&streams](Connection &connection, const std::string &request, int /*number*/) {
        if (++streams == 2) {
            connection.reset();
            return;
        }
        respondWithEvents(connection, request, 1, 2);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 2));
}

TEST_CASE("an at-most-once request is retried after a refusal that proves that it did not run")
{
    GatewayFixture fixture;
    int refused = 0;
    const auto script = [&refused](Connection &connection, const std::string &request, int /*number*/) {
        if (refused++ == 0) {
            connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
            return;
        }
        connection.send(plainResponse(request, 200, "ok"));
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.response.head.status == 200);
    CHECK(totalRequestCount(fixture) == 2);
}

TEST_CASE("a caller gets 503 with Retry-After only if the upstream proved that the request did not run")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 0);

    GatewayFixture fixtureWithoutProof;
    fixtureWithoutProof.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 503, "", ""));
    });
    fixtureWithoutProof.runRequest(fixtureWithoutProof.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixtureWithoutProof.response.head.status == 502);
}

TEST_CASE("an unreachable upstream is skipped")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk).stopListening();
    fixture.addUpstream("service", respondOk);
    for (int i = 0; i < 4; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
}

TEST_CASE("an idempotent request is retried after a failure, up to the maximum attempts of its route")
{
    GatewayFixture fixture;
    const auto failing = [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 500, "failed"));
    };
    for (int i = 0; i < 4; ++i) {
        fixture.addUpstream("service", failing);
    }
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    CHECK(totalRequestCount(fixture) == 2);
    CHECK(fixture.response.head.status == 500);
    CHECK(fixture.response.head.fields.value("Response-Signature") == "s");
}

TEST_CASE("a response that is unsigned, encoded, truncated or meant for another request is not forwarded")
{
    const auto fault = GENERATE(0, 1, 2, 3, 4);
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&count, fault](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ > 0) {
            connection.send(plainResponse(request, 200, "right"));
            return;
        }
        const std::string completeResponse = plainResponse(request, 200, "wrong");
        switch (fault) {
        case 0:
            connection.send(plainResponse(request, 200, "wrong", ""));
            break;
        case 1:
            connection.send(
                plainResponse(request, 200, "wrong", "Response-Signature: s\r\nContent-Encoding: gzip\r\n"));
            break;
        case 2:
            connection.send(completeResponse.substr(0, completeResponse.size() - 1));
            connection.close();
            break;
        case 3:
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n\r\nwrong");
            connection.close();
            break;
        default:
            // A response to an earlier request, then the expected one.
            connection.send(
                "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwrong"
                + plainResponse(request, 200, "right"));
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent));
    CHECK(fixture.response.head.status == 200);
    CHECK(fixture.response.body == "right");
}

TEST_CASE("a connection with unsolicited bytes is not reused")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(eventStreamHead(request) + eventChunk(1)
                  + "0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    CHECK(fixture.response.body == eventsText(1, 1));
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(fixture.response.body == eventsText(1, 1));
    CHECK(upstream.connections == 2);
}

TEST_CASE("a late second copy of an answer on a connection in use again does not reach the next caller")
{
    GatewayFixture fixture;
    std::string firstRequest;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int number) {
              if (number == 0) {
                  firstRequest = request;
                  respondWithEvents(connection, request, 1, 3);
                  return;
              }
              respondWithEvents(connection, firstRequest, 1, 3);
              respondWithEvents(connection, request, 1, 1);
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    CHECK(fixture.response.body == eventsText(1, 3));
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    CHECK(upstream.connections == 1);
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 1));
}

TEST_CASE("a stream is forwarded completely and ends when its upstream ends it")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        respondWithEvents(connection, request, 1, 5);
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 5));
}

TEST_CASE("a stream that breaks off within an event is resumed elsewhere without missing or repeated events")
{
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&count](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            const std::string bytes = eventStreamHead(request) + eventChunk(1) + eventChunk(2) + eventChunk(3);
            connection.send(bytes.substr(0, bytes.size() - 6));
            connection.close();
            return;
        }
        CHECK(headerField(request, "Last-Event-Id") == "2");
        respondWithEvents(connection, request, 3, 4);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 4));
    CHECK(fixture.response.head.fields.value("Response-Signature") == "first");
    CHECK(fixture.upstreams[0]->requests.size() == 1);
    CHECK(fixture.upstreams[1]->requests.size() == 1);
}

TEST_CASE("a non-resumable stream that breaks off is aborted and not retried")
{
    GatewayFixture fixture;
    const auto script = [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(eventStreamHead(request) + eventChunk(1));
        connection.close();
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    route.isResumable = false;
    fixture.runRequest(route);
    CHECK(fixture.response.isAborted);
    CHECK_FALSE(fixture.response.isComplete);
    CHECK(totalRequestCount(fixture) == 1);
}

TEST_CASE("a stream without framing is complete if its connection ends between events, and broken off within an event")
{
    const bool endsBetweenEvents = GENERATE(true, false);
    const std::string fields = GENERATE("", "Connection: close\r\n");
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
                + "\r\nResponse-Signature: s\r\n" + fields + "\r\n" + eventsText(1, 2)
                + (endsBetweenEvents ? "" : "id: 3\ndata: e"));
            connection.close();
            return;
        }
        respondWithEvents(connection, request, 3, 4);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, endsBetweenEvents ? 2 : 4));
    CHECK(totalRequestCount(fixture) == (endsBetweenEvents ? 1 : 2));
    CHECK_FALSE(fixture.response.head.fields.has("Connection"));
}

TEST_CASE("an answer without framing that is reset, or a stream that ends before its first event, is not complete")
{
    const bool isReset = GENERATE(true, false);
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ > 0) {
            respondWithEvents(connection, request, isReset ? 2 : 1, 3);
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
            + "\r\nResponse-Signature: s\r\n\r\n" + (isReset ? eventsText(1, 1) : ""));
        if (!isReset) {
            connection.close();
            return;
        }
        fixture.loop.after(Milliseconds(20), [stream = connection.stream] {
            stream->reset();
        });
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 3));
    CHECK(totalRequestCount(fixture) == 2);
}

TEST_CASE("a plain answer without framing is whole when its connection ends, and none when it is reset")
{
    const bool isReset = GENERATE(true, false);
    GatewayFixture fixture;
    fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
            + "\r\nResponse-Signature: s\r\n\r\nok");
        if (!isReset) {
            connection.close();
            return;
        }
        fixture.loop.after(Milliseconds(20), [stream = connection.stream] {
            stream->reset();
        });
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.response.head.status == (isReset ? 502 : 200));
    CHECK(fixture.response.body == (isReset ? "" : "ok"));
}

TEST_CASE(
    "an answer without a length whose upstream ends before it has taken the request is not handed out as the whole")
{
    // A crashed process leaves unread bytes, for which its system resets the connection.
    const bool isCrash = GENERATE(true, false);
    const RouteKind kind = GENERATE(RouteKind::AtMostOnce, RouteKind::Idempotent, RouteKind::Stream);
    // The smaller body fits into the buffers of the system, so that nothing of it is left to be written.
    const std::size_t bodySize = GENERATE(largeBodySize, heldBodySize);
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ > 0) {
            if (kind == RouteKind::Stream) {
                respondWithEvents(connection, request, 2, 3);
            } else {
                respondOk(connection, request, 0);
            }
            return;
        }
        connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
            + "\r\nResponse-Signature: s\r\n\r\n" + (kind == RouteKind::Stream ? eventsText(1, 1) : "part"));
        fixture.loop.after(Milliseconds(20), [stream = connection.stream, isCrash] {
            if (isCrash) {
                stream->close();
            } else {
                stream->shutdownOutput();
            }
        });
    };
    fixture.addUpstream("service", script).setRespondingEarly();
    fixture.addUpstream("service", script).setRespondingEarly();
    fixture.runRequest(fixture.makeRoute(kind), "id-1", std::string(bodySize, 'b'));
    const bool isRepeatable = kind != RouteKind::AtMostOnce;
    CHECK(fixture.response.head.status == (isRepeatable ? 200 : 502));
    CHECK(fixture.response.body == (kind == RouteKind::Stream ? eventsText(1, 3) : isRepeatable ? "ok" : ""));
    CHECK(totalRequestCount(fixture) == (isRepeatable ? 2 : 1));
}

TEST_CASE("a whole answer with a length reaches the caller though its upstream ends before it has taken the request")
{
    GatewayFixture fixture;
    fixture
        .addUpstream("service",
            [&](Connection &connection, const std::string &request, int /*number*/) {
                connection.send(plainResponse(request, 200, "ok"));
                connection.stream->close();
            })
        .setRespondingEarly();
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-1", std::string(largeBodySize, 'b'));
    CHECK(fixture.response.head.status == 200);
    CHECK(fixture.response.body == "ok");
}

TEST_CASE("an earlier refusal that an upstream repeats on a kept connection is no answer to the next request")
{
    const std::string repeatedId = GENERATE("id-1", "");
    const bool isAnswerFollowing = GENERATE(true, false);
    GatewayFixture fixture;
    std::vector<const Connection *> used;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        used.push_back(&connection);
        if (used.size() == 1) {
            connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
            return;
        }
        connection.send("HTTP/1.1 503 X\r\n" + (repeatedId.empty() ? "" : "Request-Id: " + repeatedId + "\r\n")
            + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        if (isAnswerFollowing) {
            respondWithEvents(connection, request, 1, 2);
        } else {
            connection.close();
        }
    };
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    REQUIRE(fixture.response.head.status == 503);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-2");
    REQUIRE(used.size() >= 2);
    CHECK(used[0] == used[1]);
    CHECK(fixture.response.head.status == (isAnswerFollowing ? 200 : 502));
    CHECK(fixture.response.body == (isAnswerFollowing ? eventsText(1, 2) : ""));
}

TEST_CASE("a stream whose next upstream answers with an error holds nothing of the error and does not end as complete")
{
    const std::string error = GENERATE(as<std::string>(), "HTTP/1.1 500 X\r\n", "HTTP/1.1 503 X\r\n",
        "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n", "HTTP/1.1 400 X\r\n", "HTTP/1.1 302 X\r\n",
        "HTTP/1.1 500 X\r\nBare: \n");
    const std::string body
        = GENERATE(as<std::string>(), "", R"({"error":"overloaded"})", "error: overloaded\n\n", "data: overloaded\n\n");
    const bool hasLength = GENERATE(true, false);
    INFO(error << body << (hasLength ? " with a length" : " until the end of the connection"));
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            connection.send(eventStreamHead(request) + eventChunk(1) + eventChunk(2));
            connection.close();
            return;
        }
        connection.send(error + "Request-Id: " + headerField(request, "Request-Id") + "\r\n"
            + (hasLength ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body);
        if (!hasLength) {
            connection.close();
        }
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.body == eventsText(1, 2));
    CHECK(fixture.response.isAborted);
    CHECK_FALSE(fixture.response.isComplete);
}

TEST_CASE("an error that the next upstream of a stream writes as the body of a success does not reach the caller")
{
    const std::string body = GENERATE(as<std::string>(), R"({"error":"overloaded"})", "error: overloaded\n\n",
        "data: overloaded\n\n", "HTTP/1.1 500 X\r\n\r\nfailed\n\n");
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            connection.send(eventStreamHead(request) + eventChunk(1) + eventChunk(2));
            connection.close();
            return;
        }
        connection.send(plainResponse(request, 200, body));
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.body == eventsText(1, 2));
    CHECK(fixture.response.isAborted);
    CHECK_FALSE(fixture.response.isComplete);
}

TEST_CASE("an error that an upstream writes into its stream does not reach the caller")
{
    const std::string framing = GENERATE("", "Content-Length: 1000\r\n");
    const std::string error = GENERATE(as<std::string>(), "HTTP/1.1 500 X\r\nContent-Length: 7\r\n\r\nfailed\n\n",
        "HTTP/1.1 500 X\nContent-Length: 7\n\nfailed\n\n", "\r\n\r\nfailed\n\nid: 9\ndata: e9\n\n");
    GatewayFixture fixture;
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (count++ == 0) {
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: " + headerField(request, "Request-Id")
                + "\r\nResponse-Signature: s\r\n" + framing + "\r\n" + eventsText(1, 2) + "id: 3\nda" + error);
            connection.close();
            return;
        }
        respondWithEvents(connection, request, 3, 4);
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.body == eventsText(1, 4));
    CHECK(fixture.response.isComplete);
}

TEST_CASE("when the caller disconnects, the upstream connection is closed and the request is not retried")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(eventStreamHead(request) + eventChunk(1));
          });
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return !fixture.response.body.empty();
    });
    CHECK(fixture.context.placements.size() == 1);
    exchange->cancel();
    CHECK(fixture.context.placements.size() == 0);
    fixture.runUntil([&] {
        return upstream.closedByClient == 1;
    });
    CHECK(upstream.closedByClient == 1);
    CHECK(upstream.requests.size() == 1);
    CHECK_FALSE(fixture.response.isComplete);
}

TEST_CASE("a request without a response within the timeout of its route fails with 504")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &, const std::string &, int) {});
    catalogue::Route route = fixture.makeRoute(RouteKind::AtMostOnce);
    route.timeout = Milliseconds(150);
    fixture.runRequest(route);
    CHECK(fixture.response.head.status == 504);
    CHECK(totalRequestCount(fixture) == 1);
}

TEST_CASE("a leaving upstream receives no requests")
{
    GatewayFixture fixture;
    ScriptedUpstream &leaving = fixture.addUpstream("service", respondOk);
    fixture.addUpstream("service", respondOk);
    fixture.upstreamRecords["u1"].entry.isLeaving = true;
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    for (int i = 0; i < 6; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::Idempotent), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
    CHECK(leaving.requests.empty());
}

TEST_CASE("an upstream that announces in an answer that it leaves receives no further request")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk);
    ScriptedUpstream &leaving
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(plainResponse(request, 200, "ok", "Response-Signature: s\r\nLeaving: 1\r\n"));
          });
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
    CHECK(leaving.requests.size() == 1);
    // A restart under the same id is a new run, which is not leaving.
    fixture.upstreamRecords["u2"].entry.startedAt = 7;
    fixture.upstreamRecords.erase("u1");
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-new");
    CHECK(leaving.requests.size() == 2);
}

TEST_CASE("an upstream that wants nothing for a time receives nothing after a gap in its registration")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk);
    ScriptedUpstream &paused
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\nRetry-After: 3600\r\n"));
          });
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "a" + std::to_string(i));
    }
    REQUIRE(paused.requests.size() == 1);
    auto node = fixture.upstreamRecords.extract("u2");
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    forgetUnpublished(fixture.context);
    fixture.upstreamRecords.insert(std::move(node));
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    forgetUnpublished(fixture.context);
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "b" + std::to_string(i));
    }
    CHECK(paused.requests.size() == 1);
}

TEST_CASE("an upstream that has stated that it leaves receives nothing after a gap in its registration")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk);
    ScriptedUpstream &leaving
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(plainResponse(request, 200, "ok", "Response-Signature: s\r\nLeaving: 1\r\n"));
          });
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "a" + std::to_string(i));
    }
    REQUIRE(leaving.requests.size() == 1);
    auto node = fixture.upstreamRecords.extract("u2");
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    fixture.upstreamRecords.insert(std::move(node));
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "b" + std::to_string(i));
    }
    CHECK(leaving.requests.size() == 1);
}

TEST_CASE("the rest that an upstream asks for counts in seconds of any length")
{
    const auto [value, minSeconds, maxSeconds] = GENERATE(table<std::string, double, double>(
        {{"3600", 3599, 3600}, {"86400", 86'399, 86'400}, {"0.5", 0.4, 0.5}, {"0", 0, 0}, {"-5", 0, 0}, {"soon", 0, 0},
            {"Fri, 31 Dec 2027 23:59:59 GMT", 0, 0}, {"1e300", 999'999, 1'000'000}}));
    httpwire::ResponseHead head;
    head.status = 503;
    head.fields.add("Retry-After", value);
    const GatewayFixture fixture;
    const auto pause = readUpstreamSignals(head, fixture.settings.names).pause.value_or(Milliseconds{0});
    INFO(value);
    CHECK(pause >= Milliseconds(static_cast<std::int64_t>(minSeconds * 1000)));
    CHECK(pause <= Milliseconds(static_cast<std::int64_t>(maxSeconds * 1000)));
}

TEST_CASE("a stream whose upstream is silent for more than a second goes on there if it can be reached")
{
    GatewayFixture fixture;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(eventStreamHead(request) + eventChunk(1));
        fixture.loop.after(Milliseconds(1200), [stream = connection.stream] {
            stream->write(eventChunk(2) + "0\r\n\r\n");
        });
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream));
    CHECK(fixture.response.isComplete);
    CHECK(fixture.response.body == eventsText(1, 2));
    CHECK(totalRequestCount(fixture) == 1);
}

TEST_CASE("a request that must not run twice outlasts a silence of its upstream's host of more than a second")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
        const auto self = connection.shared_from_this();
        self->setSilent(true);
        fixture.loop.after(Milliseconds(1700), [self] {
            self->setSilent(false);
        });
        fixture.loop.after(Milliseconds(2300), [self, request] {
            self->send(plainResponse(request, 200, "ok"));
        });
    });
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce));
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("a request whose memory is being reserved is not sent to an upstream that meanwhile wants nothing")
{
    GatewayFixture fixture;
    int resting = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (!request.starts_with("POST /order")) {
            respondWithEvents(connection, request, 1, 2);
            return;
        }
        fixture.loop.after(Milliseconds(100), [stream = connection.stream] {
            stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        });
    };
    addSmallEngines(fixture, script);
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const bool isPatient = GENERATE(true, false);
    if (isPatient) {
        head.fields.remove("Deadline");
        head.fields.add("Deadline", "90000");
    }
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
    // Answers to other requests tell meanwhile that all engines want nothing.
    for (const auto &[name, record] : fixture.upstreamRecords) {
        fixture.context.pressure.pause(
            UpstreamIndex::keyOf(record.entry.id), record.entry.startedAt, Milliseconds(60'000), fixture.loop.now());
        ++resting;
    }
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    REQUIRE(resting == 3);
    for (const auto &it : fixture.upstreams) {
        for (const std::string &request : it->requests) {
            CHECK(request.starts_with("POST /order"));
        }
    }
    CHECK(fixture.response.head.status == 503);
    // The time of a caller that waits for 4 s ends before the pause does.
    REQUIRE(fixture.response.head.fields.has("Retry-After") == isPatient);
    if (isPatient) {
        CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 50);
    }
}

TEST_CASE("a request whose memory is being reserved is not sent to an upstream that leaves or is removed meanwhile")
{
    const bool isRemoved = GENERATE(false, true);
    GatewayFixture fixture;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        if (!request.starts_with("POST /order")) {
            respondWithEvents(connection, request, 1, 2);
            return;
        }
        fixture.loop.after(Milliseconds(100), [stream = connection.stream] {
            stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        });
    };
    addSmallEngines(fixture, script);
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
    for (auto &[name, record] : fixture.upstreamRecords) {
        record.entry.isLeaving = true;
    }
    if (isRemoved) {
        fixture.upstreamRecords.clear();
    }
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    for (const auto &it : fixture.upstreams) {
        for (const std::string &request : it->requests) {
            CHECK(request.starts_with("POST /order"));
        }
    }
    CHECK(fixture.response.head.status == 503);
}

TEST_CASE("a refusal with Retry-After but without the request's id pauses its upstream on a reused connection too")
{
    GatewayFixture fixture;
    bool isRefusing = false;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [&](Connection &connection, const std::string &request, int /*number*/) {
              if (isRefusing) {
                  connection.send("HTTP/1.1 503 X\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n");
              } else {
                  respondWithEvents(connection, request, 1, 2);
              }
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::Stream), "id-1");
    isRefusing = true;
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-2"), "body");
    fixture.runUntil(
        [&] {
            return fixture.response.isFinished();
        },
        Milliseconds(300));
    CHECK(upstream.connections == 1);
    const placement::UpstreamKey key = UpstreamIndex::keyOf(UpstreamId("u1"));
    CHECK(fixture.context.pressure.availableAt(key, 0, 1, fixture.loop.now()) > fixture.loop.now());
}

TEST_CASE("an upstream that refuses with Retry-After receives no request until then")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", respondOk);
    ScriptedUpstream &paused
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\nRetry-After: 3600\r\n"));
          });
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
    CHECK(paused.requests.size() == 1);
}

TEST_CASE("a caller is refused at once with the time of the first upstream that takes requests again")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int number) {
              if (number == 0) {
                  connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\nRetry-After: 0.4\r\n"));
                  return;
              }
              respondOk(connection, request, number);
          });
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-1");
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 0.3);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-2");
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 0.1);
    CHECK(upstream.requests.size() == 1);
    fixture.runUntil(
        [] {
            return false;
        },
        Milliseconds(450));
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-3");
    CHECK(fixture.response.head.status == 200);
}

TEST_CASE("requests beyond the limit of an upstream go elsewhere, and are refused at once if there is no other")
{
    GatewayFixture fixture;
    const auto limited = [](Connection &connection, const std::string &request, int /*number*/) {
        connection.send(plainResponse(request, 200, "ok", "Response-Signature: s\r\nLimit: 0.1\r\n"));
    };
    ScriptedUpstream &other = fixture.addUpstream("service", respondOk);
    ScriptedUpstream &upstream = fixture.addUpstream("service", limited);
    for (int i = 0; i < 8; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
        CHECK(fixture.response.head.status == 200);
    }
    // One without the limit known, and the one that the limit allows at first.
    CHECK(upstream.requests.size() == 2);
    CHECK(other.requests.size() == 6);
    fixture.upstreamRecords.erase("u1");
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-refused");
    CHECK(fixture.response.head.status == 503);
    // The limit leaves a request every ten seconds, and this caller waits for four.
    CHECK_FALSE(fixture.response.head.fields.has("Retry-After"));
    httpwire::RequestHead patient = fixture.makeRequest("id-patient");
    patient.fields.remove("Deadline");
    patient.fields.add("Deadline", "30000");
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::AtMostOnce), patient, "body");
    REQUIRE(fixture.response.isFinished());
    CHECK(fixture.response.head.status == 503);
    CHECK(std::stod(std::string(fixture.response.head.fields.value("Retry-After"))) > 5);
    CHECK(upstream.requests.size() == 2);
}

TEST_CASE("a refusal that names no limit does not end the limit of its upstream")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int number) {
              if (number == 0) {
                  connection.send(plainResponse(request, 200, "ok", "Response-Signature: s\r\nLimit: 0.1\r\n"));
              } else {
                  connection.send(plainResponse(request, 503, "", "Not-Executed: 1\r\n"));
              }
          });
    for (int i = 0; i < 4; ++i) {
        fixture.runRequest(fixture.makeRoute(RouteKind::AtMostOnce), "id-" + std::to_string(i));
    }
    CHECK(upstream.requests.size() == 2);
}

TEST_CASE("an engine that announces in the answer to an order that it leaves receives no further request")
{
    GatewayFixture fixture;
    const auto script = [](Connection &connection, const std::string &request, int /*number*/) {
        if (request.starts_with("POST /order")) {
            connection.send("HTTP/1.1 409 Conflict\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        respondWithEvents(connection, request, 1, 2);
    };
    addSmallEngines(fixture, script);
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.head.status == 503);
    const auto leavingCount
        = std::count_if(fixture.upstreamRecords.begin(), fixture.upstreamRecords.end(), [&](const auto &it) {
              const auto *known = fixture.context.upstreams.find(UpstreamIndex::keyOf(it.second.entry.id));
              return known->entry.isLeaving;
          });
    CHECK(leavingCount >= 1);
}

TEST_CASE("memory for a prompt that does not fit on one engine is reserved, used and released")
{
    GatewayFixture fixture;
    std::vector<std::string> orders;
    const auto script = [&orders](Connection &connection, const std::string &request, int /*number*/) {
        if (request.starts_with("POST /order")) {
            orders.push_back(request.substr(request.find("\r\n\r\n") + 4));
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        CHECK(headerField(request, "Helpers").find('/') != std::string::npos);
        respondWithEvents(connection, request, 1, 2);
    };
    addSmallEngines(fixture, script);
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600, 20");
    const auto exchange = fixture.beginRequest(route, head, "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished() && orders.size() >= 2 && orders.back().starts_with("release");
    });
    CHECK(fixture.response.isComplete);
    REQUIRE(orders.size() >= 2);
    CHECK(orders.front().starts_with("reserve self-"));
    CHECK(orders.back() == "release" + orders.front().substr(7));
}

TEST_CASE("if one engine refuses the memory reservation, the caller gets 503 with Retry-After")
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
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.head.status == 503);
    CHECK(fixture.response.head.fields.has("Retry-After"));
}

TEST_CASE("a stopping process refuses with 503 all requests that may not finish in time")
{
    GatewayFixture fixture;
    fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
        respondWithEvents(connection, request, 1, 2);
    });
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.stepsPerPass = 10;
    engine.stepMs = 5;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    catalogue::Route route = fixture.makeRoute(RouteKind::Stream);
    // The caller expects 100 output tokens and allows 600, which take 0.5 s and 3 s to decode.
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "100,600");
    head.fields.add("Output-Estimate", "100");
    fixture.context.stopDeadline = fixture.loop.now() + Milliseconds(3500);

    fixture.context.strictAdmissionFrom = fixture.loop.now() + Milliseconds(3000);
    const auto early = fixture.beginRequest(route, head, "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.head.status == 200);

    fixture.context.strictAdmissionFrom = fixture.loop.now();
    const auto late = fixture.beginRequest(route, head, "body");
    CHECK(fixture.response.head.status == 503);
    CHECK(fixture.response.head.fields.has("Retry-After"));
    CHECK(totalRequestCount(fixture) == 1);

    const auto plain
        = fixture.beginRequest(fixture.makeRoute(RouteKind::AtMostOnce), fixture.makeRequest("id-2"), "body");
    CHECK(fixture.response.head.status == 503);
    CHECK(totalRequestCount(fixture) == 1);
}

TEST_CASE("a silent stream is not ended if it cannot continue at another upstream")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              connection.send(eventStreamHead(request) + eventChunk(1));
          });
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    // Longer than the silence after which the stream would be moved to another upstream.
    fixture.runUntil(
        [&] {
            return fixture.response.isFinished();
        },
        Milliseconds(2800));
    CHECK_FALSE(fixture.response.isFinished());
    CHECK(upstream.requests.size() == 1);
    // One connection for the request and at most three probes.
    CHECK(upstream.connections <= 4);
}

TEST_CASE("a silent stream is not ended if another upstream would exceed the maximum attempts")
{
    // The route allows two upstreams. The first one breaks off and is removed, the second one becomes silent. A third
    // one is idle, but would be one too many, so the request keeps waiting for the second one.
    GatewayFixture fixture;
    int attemptCount = 0;
    const auto script = [&attemptCount](Connection &connection, const std::string &request, int /*number*/) {
        ++attemptCount;
        connection.send(eventStreamHead(request) + eventChunk(attemptCount));
        if (attemptCount == 1) {
            connection.close();
        }
    };
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", script);
    }
    const auto exchange
        = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return attemptCount == 2;
    });
    for (std::size_t i = 0; i < fixture.upstreams.size(); ++i) {
        const auto &requests = fixture.upstreams[i]->requests;
        if (!requests.empty() && headerField(requests.front(), "Last-Event-Id").empty()) {
            fixture.upstreamRecords.erase("u" + std::to_string(i + 1));
        }
    }
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    REQUIRE(fixture.context.upstreams.size() == 2);
    fixture.runUntil(
        [&] {
            return fixture.response.isFinished() || attemptCount > 2;
        },
        Milliseconds(2800));
    CHECK_FALSE(fixture.response.isFinished());
    CHECK(attemptCount == 2);
}

TEST_CASE("a caller that resumes the end of its stream is not refused for the time of the whole response")
{
    // After a loss of power callers resume streams late. The whole response would take 3 s, of which 0.2 s are left.
    GatewayFixture fixture;
    ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](Connection &connection, const std::string &request, int /*number*/) {
              respondWithEvents(connection, request, 57, 60);
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
    SECTION("a new request is refused")
    {
        const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
        CHECK(fixture.response.head.status == 503);
        CHECK(upstream.requests.empty());
    }
    SECTION("a resumed one is served")
    {
        head.fields.add("Last-Event-Id", "56");
        const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), head, "body");
        fixture.runUntil([&] {
            return fixture.response.isFinished();
        });
        CHECK(fixture.response.head.status == 200);
        REQUIRE(upstream.requests.size() == 1);
        CHECK(headerField(upstream.requests.front(), "Last-Event-Id") == "56");
    }
}
