// Checks which requests a stopping instance still sends to upstreams after they have waited or an attempt has failed.
#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

constexpr Milliseconds stopGracePeriod{8000};
/** Time in which a stopping instance admits requests by their expected end. */
constexpr Milliseconds lenientTime{50};
/** Time after which upstreams answer, when admission is strict. */
constexpr Milliseconds answerTime{150};

/** An instance that stops while it has a request. */
struct StoppingInstance : GatewayFixture
{
    void addEngines(const ScriptedUpstream::Script &script)
    {
        for (int i = 0; i < 3; ++i) {
            addUpstream("service", script);
        }
        catalogue::EngineModel engine;
        engine.slots = 4;
        engine.kvCapacityTokens = 1000;
        engine.prefillTokensPerMs = 100;
        engine.chunkTokens = 100;
        catalogue->services["service"].engine = engine;
    }

    /** Begins the stop and a request, which does not fit on one engine if it has more than 1,000 tokens of prompt. */
    std::shared_ptr<Exchange> begin(RouteKind kind, const std::string &deadlineMs, const std::string &tokens)
    {
        context.stopDeadline = loop.now() + stopGracePeriod;
        context.strictAdmissionFrom = loop.now() + lenientTime;
        httpwire::RequestHead head = makeRequest("id-1");
        head.fields.remove("Deadline");
        head.fields.add("Deadline", deadlineMs);
        head.fields.add("Tokens", tokens);
        catalogue::Route newRoute = makeRoute(kind);
        newRoute.timeout = Milliseconds(20'000);
        return beginRequest(newRoute, std::move(head), "body");
    }

    void runUntilAnswered()
    {
        runUntil([&] {
            return response.isFinished();
        });
    }

    /** Number of requests, without orders, that upstreams have received. */
    [[nodiscard]] int requestCount() const
    {
        int count = 0;
        for (const auto &upstream : upstreams) {
            for (const std::string &it : upstream->requests) {
                count += it.starts_with("POST /order") ? 0 : 1;
            }
        }
        return count;
    }
};

void respond(Connection &connection, const std::string &request, RouteKind kind)
{
    connection.send(kind == RouteKind::Stream ? eventStreamHead(request) + eventChunk(1) + "0\r\n\r\n"
                                              : plainResponse(request, 200, "ok"));
}

} // namespace

TEST_CASE("a request that an upstream refuses late in a stop is not sent to another one if it may outlast the process")
{
    // Guards against second attempts that begin late in a stop and are cut at its end.
    const RouteKind kind = GENERATE(RouteKind::Stream, RouteKind::Idempotent, RouteKind::AtMostOnce);
    const bool isDeadlineBeforeEnd = GENERATE(false, true);
    int sends = 0;
    StoppingInstance instance;
    instance.addEngines([&](Connection &connection, const std::string &request, int /*number*/) {
        if (++sends > 1) {
            respond(connection, request, kind);
            return;
        }
        instance.loop.after(answerTime, [stream = connection.stream, refusal = plainResponse(request, 421, {})] {
            stream->write(refusal);
        });
    });
    const auto exchange = instance.begin(kind, isDeadlineBeforeEnd ? "3000" : "15000", "100, 20");
    instance.runUntilAnswered();
    CHECK(sends == (isDeadlineBeforeEnd ? 2 : 1));
    CHECK(instance.response.head.status == (isDeadlineBeforeEnd ? 200 : 503));
    CHECK(instance.response.head.fields.has("Retry-After") == !isDeadlineBeforeEnd);
}

TEST_CASE("a request that waits for memory when admission becomes strict in a stop is not sent if it may outlast it")
{
    // Guards against requests that are placed early in a stop, sent late in it and cut at its end.
    const bool isDeadlineBeforeEnd = GENERATE(false, true);
    StoppingInstance instance;
    instance.addEngines([&](Connection &connection, const std::string &request, int /*number*/) {
        if (!request.starts_with("POST /order")) {
            respond(connection, request, RouteKind::Stream);
            return;
        }
        instance.loop.after(answerTime, [stream = connection.stream] {
            stream->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        });
    });
    const auto exchange = instance.begin(RouteKind::Stream, isDeadlineBeforeEnd ? "3000" : "15000", "1600, 20");
    instance.runUntilAnswered();
    CHECK(instance.requestCount() == (isDeadlineBeforeEnd ? 1 : 0));
    CHECK(instance.response.head.status == (isDeadlineBeforeEnd ? 200 : 503));
    CHECK(instance.response.head.fields.has("Retry-After") == !isDeadlineBeforeEnd);
}

TEST_CASE("a request whose connection stands when admission is strict in a stop is not sent if it may outlast it")
{
    // Guards against requests that are placed early in a stop and sent late in it, after a slow connection attempt.
    const bool isDeadlineBeforeEnd = GENERATE(false, true);
    StoppingInstance instance;
    instance.addEngines([](Connection &connection, const std::string &request, int /*number*/) {
        respond(connection, request, RouteKind::Stream);
    });
    const auto exchange = instance.begin(RouteKind::Stream, isDeadlineBeforeEnd ? "3000" : "15000", "100, 20");
    instance.context.strictAdmissionFrom = instance.loop.now();
    instance.runUntilAnswered();
    CHECK(instance.requestCount() == (isDeadlineBeforeEnd ? 1 : 0));
    CHECK(instance.response.head.status == (isDeadlineBeforeEnd ? 200 : 503));
}

TEST_CASE("a request that may be repeated is sent again late in a stop after its upstream has broken off")
{
    // Guards against failures of requests that other upstreams can answer in time: what may have run cannot be refused.
    const RouteKind kind = GENERATE(RouteKind::Stream, RouteKind::Idempotent);
    int sends = 0;
    StoppingInstance instance;
    instance.addEngines([&](Connection &connection, const std::string &request, int /*number*/) {
        if (++sends > 1) {
            respond(connection, request, kind);
            return;
        }
        instance.loop.after(answerTime, [stream = connection.stream] {
            stream->reset();
        });
    });
    const auto exchange = instance.begin(kind, "15000", "100, 20");
    instance.runUntilAnswered();
    CHECK(sends == 2);
    CHECK(instance.response.isComplete);
    CHECK(instance.response.head.status == 200);
}
