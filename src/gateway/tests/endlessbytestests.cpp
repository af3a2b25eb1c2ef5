// Upstreams that send bytes without end, in a head or a body, until the caller closes.
#include "exchangelistener.h"
#include "gatewayfixture.h"
#include "loopbackcaller.h"

#include "framework/httpclient/httpclient.h"
#include "gateway/internal/reachabilityprobe.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** Time in which a request has to go on elsewhere; callers wait for 4 s. */
constexpr Milliseconds maxMoveTime{2600};
constexpr Milliseconds sendInterval{1};

/** Sends `bytes` again and again until the connection ends. */
void sendForever(eventloop::EventLoop &loop, const std::shared_ptr<eventloop::TcpStream> &stream, std::string bytes)
{
    if (!stream->isOpen()) {
        return;
    }
    constexpr std::size_t maxPending = 1 << 20;
    if (stream->pendingOutput() < maxPending) {
        stream->write(bytes);
    }
    loop.after(sendInterval, [&loop, stream, bytes = std::move(bytes)]() mutable {
        sendForever(loop, stream, std::move(bytes));
    });
}

std::string repeat(const std::string &text, int count)
{
    std::string all;
    for (int i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

struct Case
{
    const char *name;
    /** What the upstream sends first, after which `endless` follows; "ID" stands for the request's id. */
    std::string begin;
    std::string endless;
};

std::string signedHead(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n" + fields + "\r\n";
}

const std::vector<Case> headCases{
    {"garbage", "", repeat("x", 4000)},
    {"one header field", "HTTP/1.1 200 OK\r\nX: ", repeat("y", 4000)},
    {"header fields", "HTTP/1.1 200 OK\r\n", repeat("X-Field: y\r\n", 300)},
    {"informational heads", "", repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
    {"another request's answer", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeat("4\r\nabcd\r\n", 300)},
    {"another request's answers", "", repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx", 50)},
    {"another request's long answer", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 99999999999\r\n\r\n",
        repeat("z", 4000)},
};

const std::vector<Case> bodyCases{
    {"chunks", signedHead("Transfer-Encoding: chunked\r\n"), repeat("4\r\nabcd\r\n", 3000)},
    {"a chunk size", signedHead("Transfer-Encoding: chunked\r\n"), repeat("0", 4000)},
    {"trailers", signedHead("Transfer-Encoding: chunked\r\n") + "0\r\n", repeat("X: y\r\n", 500)},
    {"a body without framing", signedHead(""), repeat("z", 30'000)},
    {"a body of any length", signedHead("Content-Length: 99999999999\r\n"), repeat("z", 30'000)},
};

const std::vector<Case> streamCases{
    {"blank lines", signedHead(""), repeat("\n", 4000)},
    {"comments", signedHead(""), repeat(": wait\n\n", 500)},
    {"one event again and again", signedHead(""), repeat("id: 1\ndata: e1\n\n", 300)},
    {"an event without end", signedHead("") + "id: 1\ndata: ", repeat("z", 30'000)},
};

std::string withId(std::string text, const std::string &id)
{
    const std::size_t at = text.find("ID\r\n");
    return at == std::string::npos ? text : text.replace(at, 2, id);
}

/** Lets the first upstream that is asked send without end; the others answer. */
void runCase(GatewayFixture &fixture, const Case &it, RouteKind kind)
{
    int count = 0;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        const std::string id = headerField(request, "Request-Id");
        if (count++ == 0) {
            connection.send(withId(it.begin, id));
            sendForever(fixture.loop, connection.stream, it.endless);
        } else if (kind == RouteKind::Stream) {
            const int next = std::atoi(headerField(request, "Last-Event-Id").c_str()) + 1;
            std::string bytes = eventStreamHead(request);
            for (int event = next; event <= 3; ++event) {
                bytes += eventChunk(event);
            }
            connection.send(bytes + "0\r\n\r\n");
        } else {
            connection.send(plainResponse(request, 200, "ok"));
        }
    };
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", script);
    }
    catalogue::Route route = fixture.makeRoute(kind);
    route.latencyTarget = Milliseconds(200);
    route.gapTarget = Milliseconds(200);
    const MonoTime begunAt = fixture.loop.now();
    const auto exchange = fixture.beginRequest(route, fixture.makeRequest("id-1"), "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(toMilliseconds(fixture.loop.now() - begunAt) <= maxMoveTime);
}

} // namespace

TEST_CASE(
    "a request whose upstream sends a head without end goes on elsewhere in time, and one that may run once fails")
{
    for (const Case &it : headCases) {
        for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::Stream}) {
            INFO(it.name);
            GatewayFixture fixture;
            runCase(fixture, it, kind);
            CHECK(fixture.response.head.status == 200);
            CHECK(fixture.response.isComplete);
        }
        INFO(it.name);
        GatewayFixture fixture;
        runCase(fixture, it, RouteKind::AtMostOnce);
        CHECK(fixture.response.head.status == 502);
    }
}

TEST_CASE("a plain request whose upstream sends a body without end goes on elsewhere in time, and one that may run "
          "once fails")
{
    for (const Case &it : bodyCases) {
        INFO(it.name);
        GatewayFixture fixture;
        runCase(fixture, it, RouteKind::Idempotent);
        CHECK(fixture.response.head.status == 200);
        CHECK(fixture.response.body == "ok");
        GatewayFixture once;
        runCase(once, it, RouteKind::AtMostOnce);
        CHECK(once.response.head.status == 502);
    }
}

TEST_CASE("a stream whose upstream sends no further event without end goes on elsewhere in time")
{
    for (const Case &it : streamCases) {
        INFO(it.name);
        GatewayFixture fixture;
        runCase(fixture, it, RouteKind::Stream);
        CHECK(fixture.response.isComplete);
        CHECK(fixture.response.body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
    }
}

TEST_CASE("an engine that answers an order for memory without end counts as not answering")
{
    const std::string begin
        = GENERATE("HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "");
    const std::string endless
        = begin.ends_with("chunked\r\n\r\n") ? repeat("4\r\nabcd\r\n", 3000) : repeat("z", 30'000);
    GatewayFixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.addUpstream("service", [&](Connection &connection, const std::string & /*request*/, int /*number*/) {
            connection.send(begin);
            sendForever(fixture.loop, connection.stream, endless);
        });
    }
    catalogue::EngineModel engine;
    engine.slots = 4;
    engine.kvCapacityTokens = 1000;
    engine.prefillTokensPerMs = 100;
    engine.chunkTokens = 100;
    fixture.catalogue->services["service"].engine = engine;
    httpwire::RequestHead head = fixture.makeRequest("id-1");
    head.fields.add("Tokens", "1600,10");
    const MonoTime begunAt = fixture.loop.now();
    const auto exchange = fixture.beginRequest(fixture.makeRoute(RouteKind::Stream), std::move(head), "body");
    fixture.runUntil([&] {
        return fixture.response.isFinished();
    });
    CHECK(fixture.response.head.status == 503);
    CHECK(toMilliseconds(fixture.loop.now() - begunAt) <= Milliseconds(1000));
}

TEST_CASE("a call to the store ends when the head or the body of its answer does not end")
{
    const std::string begin
        = GENERATE("HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n");
    const std::string endless
        = begin.ends_with("chunked\r\n\r\n") ? repeat("4\r\nabcd\r\n", 3000) : repeat("z", 30'000);
    GatewayFixture fixture;
    ScriptedUpstream &store
        = fixture.addUpstream("service", [&](Connection &connection, const std::string & /*request*/, int /*number*/) {
              connection.send(begin);
              sendForever(fixture.loop, connection.stream, endless);
          });
    constexpr std::size_t maxReplySize = 1 << 20;
    constexpr Milliseconds watchTime{30'000};
    const auto call = std::make_shared<httpclient::HttpClient>(
        fixture.loop, store.address(), eventloop::TcpTimeouts{}, maxReplySize);
    std::optional<bool> isAnswered;
    call->send("GET", "/watch", {}, watchTime, [&](const Result<httpclient::HttpReply> &reply) {
        isAnswered = reply.has_value();
    });
    fixture.runUntil([&] {
        return isAnswered.has_value();
    });
    CHECK(isAnswered == false);
}

TEST_CASE("a probe of an upstream that sends bytes without end closes its connection")
{
    GatewayFixture fixture;
    ScriptedUpstream &upstream = fixture.addUpstream(
        "service", [](Connection & /*connection*/, const std::string & /*request*/, int /*number*/) {});
    std::optional<Reachability> reachability;
    ReachabilityProbe::run(fixture.loop, upstream.address(), [&](Reachability it) {
        reachability = it;
    });
    fixture.runUntil([&] {
        return reachability.has_value() && upstream.closedByClient == 1;
    });
    CHECK(reachability == Reachability::Reached);
    CHECK(upstream.closedByClient == 1);
}

TEST_CASE("a caller that sends bytes without end is answered or disconnected, and little of them is held")
{
    const std::vector<Case> callerCases{
        {"garbage", "", repeat("x", 4000)},
        {"one header field", "POST /plain HTTP/1.1\r\nHost: h\r\nX: ", repeat("y", 4000)},
        {"header fields", "POST /plain HTTP/1.1\r\nHost: h\r\n", repeat("X-Field: y\r\n", 300)},
        {"a body of any length", "POST /plain HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n",
            repeat("z", 4000)},
        {"chunks", "POST /plain HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            repeat("4\r\nabcd\r\n", 3000)},
        {"a chunk size", "POST /plain HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", repeat("0", 4000)},
        {"trailers", "POST /plain HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            repeat("X: y\r\n", 500)},
        {"bytes after a request that is being processed",
            "POST /plain HTTP/1.1\r\nHost: h\r\nRequest-Id: id-1\r\nDeadline: 1000\r\nContent-Length: 0\r\n\r\n",
            repeat("x", 4000)},
    };
    constexpr std::size_t maxBodyBytes = 1'000'000;
    for (const Case &it : callerCases) {
        INFO(it.name);
        GatewayFixture fixture;
        fixture.context.memory = memory::MemoryAccount(memory::memoryLimits(Bytes{160'000'000}));
        fixture.addUpstream(
            "service", [](Connection & /*connection*/, const std::string & /*request*/, int /*number*/) {});
        ExchangeListener listener(fixture, 100, maxBodyBytes);
        listener.plainRoute.timeout = Milliseconds(1000);
        LoopbackCaller caller(fixture.loop, listener.address(), true);
        caller.stream->write(it.begin);
        sendForever(fixture.loop, caller.stream, it.endless);
        Bytes greatest;
        fixture.runUntil([&] {
            greatest = std::max(greatest, fixture.context.memory.held());
            return caller.isEnded;
        });
        CHECK(caller.isEnded);
        CHECK(greatest <= Bytes{2 * maxBodyBytes});
    }
}
