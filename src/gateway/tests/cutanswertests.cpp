// Checks that no part of an answer reaches a caller as the whole, wherever its upstream stops.
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

enum class Framing {
    Length,
    Chunked,
    UntilClose,
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

std::string wholeBody(RouteKind kind)
{
    return kind == RouteKind::Stream ? event(1) + event(2) : "the answer";
}

std::string answerHead(const std::string &request, RouteKind kind, Framing framing)
{
    std::string head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: "
        + headerField(request, "Request-Id") + "\r\nResponse-Signature: s\r\n";
    if (framing == Framing::Length) {
        head += "Content-Length: " + std::to_string(wholeBody(kind).size()) + "\r\n";
    } else if (framing == Framing::Chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    return head + "Server-Load: 1,0,4\r\n\r\n";
}

std::string answerBody(RouteKind kind, Framing framing)
{
    const std::string body = wholeBody(kind);
    return framing == Framing::Chunked ? "5\r\n" + body.substr(0, 5) + "\r\n5\r\n" + body.substr(5, 5) + "\r\n"
            + (body.size() > 10 ? "14\r\n" + body.substr(10) + "\r\n" : "") + "0\r\n\r\n"
                                       : body;
}

/** Answer of the upstream that gets the request next. */
std::string laterAnswer(const std::string &request, RouteKind kind)
{
    if (kind != RouteKind::Stream) {
        return plainResponse(request, 200, "another");
    }
    const bool hasFirst = headerField(request, "Last-Event-Id") == "1";
    return plainResponse(request, 200, hasFirst ? event(2) : event(1) + event(2));
}

} // namespace

TEST_CASE("an answer that its upstream cuts at any byte does not reach the caller as a whole one")
{
    const RouteKind kind = GENERATE(RouteKind::AtMostOnce, RouteKind::Idempotent, RouteKind::Stream);
    const Framing framing = GENERATE(Framing::Length, Framing::Chunked, Framing::UntilClose);
    const bool isReset = GENERATE(false, true);
    const std::string request = "\r\nRequest-Id: id-1\r\n";
    const std::size_t headSize = answerHead(request, kind, framing).size();
    const std::size_t size = headSize + answerBody(kind, framing).size();
    // Without a length, each part of the body that ends in order is a whole one.
    const std::size_t endOfCuts = framing == Framing::UntilClose && !isReset ? headSize : size;
    for (std::size_t cutAt = 0; cutAt < endOfCuts; ++cutAt) {
        INFO("cut at byte " << cutAt << " of " << size);
        // Each cut has upstreams and a retry budget of its own.
        GatewayFixture fixture;
        bool isFirst = true;
        const auto script = [&](Connection &connection, const std::string &received, int /*number*/) {
            if (!isFirst) {
                connection.send(laterAnswer(received, kind));
                return;
            }
            isFirst = false;
            connection.send((answerHead(received, kind, framing) + answerBody(kind, framing)).substr(0, cutAt));
            if (!isReset) {
                connection.close();
                return;
            }
            fixture.loop.after(Milliseconds(3), [stream = connection.stream] {
                stream->reset();
            });
        };
        fixture.addUpstream("service", script);
        fixture.addUpstream("service", script);
        fixture.runRequest(fixture.makeRoute(kind));
        REQUIRE(fixture.response.isFinished());
        if (kind == RouteKind::AtMostOnce) {
            REQUIRE(fixture.response.head.status == 502);
            REQUIRE(fixture.response.body.empty());
        } else {
            REQUIRE(fixture.response.isComplete);
            REQUIRE(fixture.response.head.status == 200);
            REQUIRE(fixture.response.body == (kind == RouteKind::Stream ? wholeBody(kind) : "another"));
        }
    }
}

TEST_CASE("an answer whose status line is spoiled does not reach the caller")
{
    const std::string statusLine = GENERATE(as<std::string>(), "HTTP/1.1 000 OK\r\n", "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 200OK\r\n", "HTTP/1.1 200 O\x0B\r\n", "HTTP/1.1 200 OK\n", "HTTP/1.1 600 OK\r\n");
    const RouteKind kind = GENERATE(RouteKind::AtMostOnce, RouteKind::Idempotent, RouteKind::Stream);
    INFO(statusLine);
    GatewayFixture fixture;
    bool isFirst = true;
    const auto script = [&](Connection &connection, const std::string &received, int /*number*/) {
        if (!std::exchange(isFirst, false)) {
            connection.send(laterAnswer(received, kind));
            return;
        }
        const std::string answer = plainResponse(received, 200, wholeBody(kind));
        connection.send(statusLine + answer.substr(answer.find("\r\n") + 2));
    };
    fixture.addUpstream("service", script);
    fixture.addUpstream("service", script);
    fixture.runRequest(fixture.makeRoute(kind));
    REQUIRE(fixture.response.isFinished());
    if (kind == RouteKind::AtMostOnce) {
        CHECK(fixture.response.head.status == 502);
        CHECK(fixture.response.body.empty());
    } else {
        CHECK(fixture.response.head.status == 200);
        CHECK(fixture.response.head.reason == "X");
        CHECK(fixture.response.body == (kind == RouteKind::Stream ? wholeBody(kind) : "another"));
    }
}
