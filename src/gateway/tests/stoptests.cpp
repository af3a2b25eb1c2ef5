// Checks that a planned stop leaves no request without an answer that an upstream has received.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** The grace period of a stop, which is the default of the settings, and some time to end. */
constexpr Milliseconds stopTime{8500};

/** Times after the beginning of the stop at which requests are sent. */
constexpr std::array<int, 9> sentAtMs{0, 1000, 2000, 2600, 3000, 4000, 5000, 6000, 7000};

struct SentRequest
{
    std::string id;
    std::string path;
    std::shared_ptr<FleetCaller> caller;
};

bool hasBegunStream(const SentRequest &request)
{
    return request.path == "/stream/begun" && request.caller->status() == 200;
}

constexpr std::string_view lastChunk = "0\r\n\r\n";

std::string requestHead(
    const std::string &id, const std::string &path, const std::string &deadlineMs, std::size_t bodySize = 0)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline: " + deadlineMs
        + "\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

/**
 * A fleet of two gateways before upstreams that answer at once, except for streams to "/stream/kept", which go on until
 * the test ends them. Their heads are sent before the stop, so that they do not tell that their connections close.
 */
struct FleetWithKeptStreams
{
    FleetWithKeptStreams()
        : fleet({"a", "a"})
    {
        const auto script = [this](Connection &connection, const std::string &request, int /*number*/) {
            const std::string id = headerField(request, "Request-Id");
            received.insert(id);
            if (request.starts_with("POST /stream/kept")) {
                connection.send(eventStreamHead(request) + eventChunk(1));
                keptStreams[id] = connection.stream;
            } else if (request.starts_with("POST /stream/")) {
                connection.send(eventStreamHead(request) + eventChunk(1) + std::string(lastChunk));
            } else {
                connection.send(plainResponse(request, 200, "ok"));
            }
        };
        for (int i = 0; i < 4; ++i) {
            fleet.addUpstream("engine", script);
            fleet.addUpstream("app", script);
        }
        fleet.setRouteTimeout(Milliseconds(20'000));
        fleet.start();
    }

    std::shared_ptr<FleetCaller> beginKeptStream(const std::string &id)
    {
        auto caller = fleet.send(0, id, "/stream/kept", {}, "15000");
        const bool hasBegun = fleet.runUntil([&] {
            return caller->status() == 200;
        });
        REQUIRE(hasBegun);
        return caller;
    }

    void endKeptStream(const std::string &id)
    {
        keptStreams[id]->write(lastChunk);
    }

    GatewayFleet fleet;
    /** Ids of the requests that upstreams have received. */
    std::set<std::string> received;
    std::map<std::string, std::shared_ptr<eventloop::TcpStream>> keptStreams;
};

/** Returns the bytes that a caller has received after its first stream; empty while that goes on. */
std::string bytesAfterStream(const FleetCaller &caller)
{
    const std::size_t at = caller.received.find(lastChunk);
    return at == std::string::npos ? std::string() : caller.received.substr(at + lastChunk.size());
}

/** Checks that `answer` says that request `id` has not run, when to come back, and that the connection ends. */
void checkNotRun(const std::string &answer, const std::string &id)
{
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(headerField(answer, "Request-Id") == id);
    CHECK_FALSE(headerField(answer, "Retry-After").empty());
    CHECK(headerField(answer, "Connection") == "close");
}

} // namespace

TEST_CASE("at the end of a planned stop no request that an upstream has received is cut without an answer")
{
    // Upstreams that are silent all the time, and one kind of stream that begins and does not go on.
    GatewayFleet fleet({"a", "a"});
    std::set<std::string> received;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        received.insert(headerField(request, "Request-Id"));
        if (request.starts_with("POST /stream/begun")) {
            connection.send(eventStreamHead(request) + eventChunk(1));
        }
    };
    for (int i = 0; i < 4; ++i) {
        fleet.addUpstream("engine", script);
        fleet.addUpstream("app", script);
    }
    fleet.setRouteTimeout(Milliseconds(20'000));
    fleet.start();
    fleet.beginStop(0);
    std::vector<SentRequest> sent;
    for (const int ms : sentAtMs) {
        fleet.loop.after(Milliseconds(ms), [&, ms] {
            for (const char *path : {"/once/x", "/safe/x", "/stream/x", "/stream/begun"}) {
                for (const char *deadlineMs : {"600", "3000", "15000"}) {
                    const std::string id = std::to_string(ms) + path + '-' + deadlineMs;
                    sent.push_back({id, path, fleet.send(0, id, path, {}, deadlineMs)});
                }
            }
        });
    }
    fleet.runFor(stopTime);
    int answered = 0;
    for (const SentRequest &it : sent) {
        INFO(it.id << ": " << it.caller->received);
        if (!received.contains(it.id)) {
            // Refused as not run, or the connection was not accepted.
            CHECK((it.caller->status() == 503 || it.caller->received.empty()));
            continue;
        }
        ++answered;
        if (hasBegunStream(it)) {
            CHECK_FALSE(it.caller->isComplete());
        } else {
            CHECK(it.caller->isComplete());
            CHECK((it.caller->status() == 502 || it.caller->status() == 504));
        }
    }
    CHECK(answered > 0);
}

TEST_CASE(
    "during a planned stop no request on a kept connection, or with a slow body, is passed on and left unanswered")
{
    GatewayFleet fleet({"a", "a"});
    std::set<std::string> received;
    const auto script = [&](Connection &connection, const std::string &request, int /*number*/) {
        const std::string id = headerField(request, "Request-Id");
        received.insert(id);
        if (id.starts_with("early")) {
            connection.send(plainResponse(request, 200, "ok"));
        }
    };
    for (int i = 0; i < 4; ++i) {
        fleet.addUpstream("engine", script);
        fleet.addUpstream("app", script);
    }
    fleet.setRouteTimeout(Milliseconds(20'000));
    fleet.start();
    std::vector<std::shared_ptr<FleetCaller>> kept;
    for (const int ms : sentAtMs) {
        kept.push_back(fleet.run(0, "early" + std::to_string(ms), "/safe/x"));
        REQUIRE(kept.back()->status() == 200);
        kept.back()->received.clear();
    }
    // The heads of these requests have arrived before the stop, and their bodies arrive one at each time.
    std::vector<std::shared_ptr<FleetCaller>> slow;
    for (const int ms : sentAtMs) {
        slow.push_back(fleet.run(0, "early-slow" + std::to_string(ms), "/safe/x"));
        slow.back()->received.clear();
        slow.back()->stream->write("POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: slow" + std::to_string(ms)
            + "\r\nDeadline: 15000\r\nContent-Length: 4\r\n\r\nbo");
    }
    fleet.beginStop(0);
    for (std::size_t i = 0; i < sentAtMs.size(); ++i) {
        fleet.loop.after(Milliseconds(sentAtMs[i]), [&, i] {
            kept[i]->stream->write("POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: kept" + std::to_string(sentAtMs[i])
                + "\r\nDeadline: 15000\r\nContent-Length: 4\r\n\r\nbody");
            slow[i]->stream->write("dy");
        });
    }
    fleet.runFor(stopTime);
    for (std::size_t i = 0; i < sentAtMs.size(); ++i) {
        INFO("sent at " << sentAtMs[i] << " ms: " << kept[i]->received << slow[i]->received);
        const bool isKeptPassedOn = received.contains("kept" + std::to_string(sentAtMs[i]));
        const bool isSlowPassedOn = received.contains("slow" + std::to_string(sentAtMs[i]));
        CHECK((!isKeptPassedOn || kept[i]->status() == 502));
        CHECK((!isSlowPassedOn || slow[i]->status() == 502));
        // What was not passed on was refused as not run, or its connection had been closed.
        CHECK((isKeptPassedOn || kept[i]->received.empty() || kept[i]->status() == 503));
        CHECK((isSlowPassedOn || slow[i]->status() == 503 || slow[i]->status() == 408));
    }
    CHECK(received.contains("kept0"));
    CHECK(received.contains("slow0"));
}

TEST_CASE("a stopping instance serves new connections until the directory answers that name it have expired")
{
    // Guards against a share of the stop: callers keep the address for the time to live, however long the stop takes.
    GatewayFleet fleet({"a", "a"});
    for (int i = 0; i < 2; ++i) {
        fleet.addUpstream("app", [](Connection &connection, const std::string &request, int /*number*/) {
            connection.send(plainResponse(request, 200, "ok"));
        });
    }
    fleet.setLocateTtl(Milliseconds(4000));
    fleet.start();
    fleet.beginStop(0);
    fleet.runFor(Milliseconds(3500));
    const auto before = fleet.send(0, "before", "/safe/x", {}, "400");
    fleet.runUntil(
        [&] {
            return before->status() != 0;
        },
        Milliseconds(400));
    CHECK(before->status() == 200);
    fleet.runFor(Milliseconds(1000));
    const auto after = fleet.send(0, "after", "/safe/x", {}, "400");
    fleet.runFor(Milliseconds(400));
    CHECK(after->received.empty());
}

TEST_CASE("in a planned stop a stream whose deadline lies after the end of the process is not passed on")
{
    // Guards against streams that are taken late in a stop by an estimate of their work, and cut at its end.
    FleetWithKeptStreams kept;
    const std::array<int, 3> laterAtMs{2500, 3700, 4900};
    const std::array<std::string, 2> deadlinesMs{"10000", "1500"};
    std::map<std::string, std::shared_ptr<FleetCaller>> callers;
    for (const int ms : laterAtMs) {
        for (const std::string &deadlineMs : deadlinesMs) {
            const std::string id = std::to_string(ms) + '-' + deadlineMs;
            callers[id] = kept.beginKeptStream("early-" + id);
            callers["slow-" + id] = kept.beginKeptStream("early-slow-" + id);
        }
    }
    kept.fleet.beginStop(0);
    for (const int ms : laterAtMs) {
        for (const std::string &deadlineMs : deadlinesMs) {
            const std::string id = std::to_string(ms) + '-' + deadlineMs;
            // The next requests arrive before the answers before them have ended, one of them without its body.
            kept.fleet.loop.after(Milliseconds(ms), [&, id, deadlineMs] {
                callers[id]->stream->write(requestHead(id, "/stream/late", deadlineMs));
                callers["slow-" + id]->stream->write(requestHead("slow-" + id, "/stream/late", deadlineMs, 4) + "bo");
            });
            kept.fleet.loop.after(Milliseconds(ms + 50), [&, id] {
                kept.endKeptStream("early-" + id);
                kept.endKeptStream("early-slow-" + id);
            });
            kept.fleet.loop.after(Milliseconds(ms + 300), [&, id] {
                callers["slow-" + id]->stream->write("dy");
            });
        }
    }
    kept.fleet.runFor(stopTime);
    for (const auto &[id, caller] : callers) {
        INFO(id << ": " << caller->received);
        const std::string answer = bytesAfterStream(*caller);
        CHECK(caller->hasEnded);
        if (id.ends_with("-10000")) {
            CHECK_FALSE(kept.received.contains(id));
            checkNotRun(answer, id);
        } else {
            // Its deadline ends it before the process ends.
            CHECK(answer.starts_with("HTTP/1.1 200 "));
            CHECK(answer.ends_with(lastChunk));
        }
    }
}

TEST_CASE("in a planned stop a kept connection ends with its answer, before its caller sends the next request")
{
    // Guards against requests that a process takes between the end of an answer and its next check for idle
    // connections.
    FleetWithKeptStreams kept;
    constexpr int callerCount = 8;
    std::vector<std::shared_ptr<FleetCaller>> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(kept.beginKeptStream("early-" + std::to_string(i)));
    }
    kept.fleet.beginStop(0);
    kept.fleet.runFor(Milliseconds(3000));
    for (int i = 0; i < callerCount; ++i) {
        kept.endKeptStream("early-" + std::to_string(i));
        const FleetCaller &caller = *callers[static_cast<std::size_t>(i)];
        REQUIRE(kept.fleet.runUntil([&] {
            return caller.isComplete();
        }));
        kept.fleet.runFor(Milliseconds(5));
        caller.stream->write(requestHead("late-" + std::to_string(i), "/safe/x", "500"));
    }
    kept.fleet.runFor(Milliseconds(300));
    for (int i = 0; i < callerCount; ++i) {
        const FleetCaller &caller = *callers[static_cast<std::size_t>(i)];
        INFO(i << ": " << caller.received);
        CHECK(caller.hasEnded);
        CHECK(bytesAfterStream(caller).empty());
        CHECK_FALSE(kept.received.contains("late-" + std::to_string(i)));
    }
}

TEST_CASE("a request whose body is being read at the end of a planned stop is told when to come back")
{
    // Guards against a refusal that names neither its request nor a time, so that its caller cannot tell what to
    // repeat.
    FleetWithKeptStreams kept;
    const auto caller = kept.beginKeptStream("early");
    kept.fleet.beginStop(0);
    kept.fleet.loop.after(Milliseconds(6000), [&] {
        caller->stream->write(requestHead("late", "/once/x", "1000", 4) + "bo");
        kept.endKeptStream("early");
    });
    kept.fleet.runFor(stopTime);
    INFO(caller->received);
    CHECK_FALSE(kept.received.contains("late"));
    checkNotRun(bytesAfterStream(*caller), "late");
    CHECK(caller->hasEnded);
}
