// Checks what callers get, and what peers are told, while instances are cut from all upstreams.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <set>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

using Connection = ScriptedUpstream::Connection;

constexpr std::size_t engineCount = 4;
constexpr std::size_t serviceCount = 3;
/** Several times the time in which instances tell each other of the end of an attempt. */
constexpr Milliseconds noticeTime{30};
/** Several intervals between the probes of a partitioned instance. */
constexpr Milliseconds probeTime{1300};

void respond(Connection &connection, const std::string &request, int /*number*/)
{
    if (request.starts_with("POST /stream/")) {
        connection.send(eventStreamHead(request) + eventChunk(1) + eventChunk(2) + "0\r\n\r\n");
    } else {
        connection.send(plainResponse(request, 200, "ok"));
    }
}

void addUpstreams(GatewayFleet &fleet)
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", respond);
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", respond);
    }
}

std::string pathOf(int number)
{
    constexpr std::array<const char *, 3> paths{"/stream/x", "/once/x", "/safe/x"};
    return paths[static_cast<std::size_t>(number) % paths.size()];
}

/** Sends requests of all kinds to a gateway one after the other; returns how many were served. */
int countServed(GatewayFleet &fleet, std::size_t gateway, int count, const std::string &idPrefix)
{
    int served = 0;
    for (int i = 0; i < count; ++i) {
        const auto caller = fleet.run(gateway, idPrefix + std::to_string(i), pathOf(i));
        served += caller->status() == 200 ? 1 : 0;
    }
    return served;
}

} // namespace

TEST_CASE("callers of an instance that is cut from all upstreams are served")
{
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging, Cut::Refusing, Cut::Closing);
    GatewayFleet fleet({"a", "a", "b"});
    addUpstreams(fleet);
    fleet.start();
    REQUIRE(countServed(fleet, 0, 9, "before") == 9);
    fleet.cut(0, cut);
    // The first requests show that the upstreams cannot be reached.
    countServed(fleet, 0, 3, "first");
    constexpr int requestCount = 30;
    CHECK(countServed(fleet, 0, requestCount, "cut") == requestCount);
    fleet.runFor(probeTime);
    const nlohmann::json partition = fleet.status(0)["partition"];
    REQUIRE_FALSE(partition.is_null());
    // The partition has neither ended nor begun again.
    CHECK(partition["since_ms_ago"] >= probeTime.count());
}

TEST_CASE("an instance that is cut from all upstreams does not make its peers leave them out")
{
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging, Cut::Refusing, Cut::Closing);
    GatewayFleet fleet({"a", "a", "a"});
    addUpstreams(fleet);
    fleet.start();
    fleet.cut(0, cut);
    fleet.cut(1, cut);
    for (int i = 0; i < 12; ++i) {
        const auto first = fleet.send(0, "x" + std::to_string(i), pathOf(i));
        fleet.run(1, "y" + std::to_string(i), pathOf(i));
        fleet.runFor(noticeTime);
        const nlohmann::json status = fleet.status(2);
        for (const nlohmann::json &upstream : status["upstreams"]) {
            INFO(upstream.dump());
            REQUIRE(upstream["state"] == "live");
        }
    }
}

TEST_CASE("requests that are in progress when instances are cut from all upstreams are not refused elsewhere")
{
    GatewayFleet fleet({"a", "b", "c"});
    std::vector<std::shared_ptr<Connection>> open;
    bool isAnswering = false;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", [&](Connection &connection, const std::string &request, int number) {
            if (isAnswering) {
                respond(connection, request, number);
            } else {
                open.push_back(connection.shared_from_this());
            }
        });
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", respond);
    }
    fleet.start();
    const std::string fields = "Model: m\r\nTokens: 100,10\r\nPrompt-Parts: shared:90,";
    for (int i = 0; i < 4; ++i) {
        for (const std::size_t gateway : {0, 1}) {
            const std::string id = "g" + std::to_string(gateway) + "n" + std::to_string(i);
            fleet.send(gateway, id, "/stream/x", fields + id + ":10\r\n");
        }
    }
    fleet.runUntil([&] {
        return open.size() == 8;
    });
    fleet.runFor(Milliseconds(100));
    isAnswering = true;
    fleet.cut(0, Cut::Reset);
    fleet.cut(1, Cut::Reset);
    fleet.runFor(Milliseconds(400));
    CHECK(fleet.status(2)["crash_reports"] == 0);
    CHECK(fleet.run(2, "later", "/stream/x", fields + "later:10\r\n")->status() == 200);
}

TEST_CASE("a stream goes on at a peer when its instance is cut from all upstreams in the middle of it")
{
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging);
    GatewayFleet fleet({"a", "b"});
    bool isHolding = true;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", [&](Connection &connection, const std::string &request, int /*number*/) {
            if (isHolding) {
                connection.send(eventStreamHead(request) + eventChunk(1));
                return;
            }
            const int last = std::max(0, std::atoi(headerField(request, "Last-Event-Id").c_str()));
            std::string bytes = eventStreamHead(request);
            for (int id = last + 1; id <= 3; ++id) {
                bytes += eventChunk(id);
            }
            connection.send(bytes + "0\r\n\r\n");
        });
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", respond);
    }
    fleet.start();
    const auto caller = fleet.send(0, "id-1", "/stream/x");
    REQUIRE(fleet.runUntil([&] {
        return caller->body().find("e1") != std::string::npos;
    }));
    isHolding = false;
    fleet.cut(0, cut);
    CHECK(fleet.runUntil([&] {
        return caller->isComplete();
    }));
    CHECK(caller->body() == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
    CHECK(fleet.requestCount(1) == 1);
}

TEST_CASE(
    "a stream that its caller resumes at an instance that is cut goes on after the event that the caller has named")
{
    const std::string lastEventId = GENERATE("0", "7402527129600000004");
    GatewayFleet fleet({"a", "a"});
    std::vector<std::string> lastEventIds;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", [&](Connection &connection, const std::string &request, int /*number*/) {
            lastEventIds.push_back(headerField(request, "Last-Event-Id"));
            connection.send(eventStreamHead(request) + "0\r\n\r\n");
        });
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", respond);
    }
    fleet.start();
    fleet.cut(0, Cut::Reset);
    // The first requests show that the upstreams cannot be reached.
    countServed(fleet, 0, 3, "first");
    lastEventIds.clear();
    fleet.run(0, "resumed", "/stream/x", "Last-Event-Id: " + lastEventId + "\r\n");
    REQUIRE_FALSE(lastEventIds.empty());
    CHECK(std::all_of(lastEventIds.begin(), lastEventIds.end(), [&](const std::string &it) {
        return it == lastEventId;
    }));
}

TEST_CASE("requests are refused at once as not run while no instance can reach an upstream")
{
    GatewayFleet fleet({"a", "a", "b"});
    addUpstreams(fleet);
    fleet.start();
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.cut(i, Cut::Reset);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        for (int n = 0; n < 4; ++n) {
            fleet.run(i, "first" + std::to_string(i) + std::to_string(n), pathOf(n));
        }
    }
    fleet.runFor(noticeTime);
    for (int n = 0; n < 9; ++n) {
        const MonoTime sentAt = eventloop::EventLoop::readClock();
        const auto caller = fleet.run(static_cast<std::size_t>(n) % 3, "id" + std::to_string(n), pathOf(n));
        CHECK(caller->status() == 503);
        CHECK_FALSE(headerField(caller->received, "Retry-After").empty());
        CHECK(eventloop::EventLoop::readClock() - sentAt < Milliseconds(1000));
    }
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(fleet.requestCount(i) == 0);
        // Nobody serves better, so all remain in the directory.
        CHECK(fleet.callerAddresses(i).find(fleet.callerAddress((i + 1) % 3)) != std::string::npos);
    }
}

TEST_CASE("a peer stops the work for a caller that has left the instance which relays its request")
{
    GatewayFleet fleet({"a", "a"});
    std::size_t begun = 0;
    for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
        fleet.addUpstream(
            i < engineCount ? "engine" : "app", [&](Connection &connection, const std::string &request, int number) {
                if (headerField(request, "Request-Id") != "left") {
                    respond(connection, request, number);
                    return;
                }
                ++begun;
            });
    }
    fleet.start();
    fleet.cut(0, Cut::Refusing);
    fleet.run(0, "first", "/safe/x");
    const auto caller = fleet.send(0, "left", "/safe/x");
    REQUIRE(fleet.runUntil([&] {
        return begun == 1;
    }));
    int closedBefore = 0;
    for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
        closedBefore += fleet.upstream(1, i).closedByClient;
    }
    caller->stream->close();
    CHECK(fleet.runUntil(
        [&] {
            int closed = 0;
            for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
                closed += fleet.upstream(1, i).closedByClient;
            }
            return closed > closedBefore;
        },
        Milliseconds(400)));
}

TEST_CASE("a relayed request reaches no more upstreams than its route allows")
{
    GatewayFleet fleet({"a", "b"});
    std::size_t arrivals = 0;
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", respond);
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", [&](Connection &connection, const std::string &request, int number) {
            if (headerField(request, "Request-Id") != "broken") {
                respond(connection, request, number);
                return;
            }
            ++arrivals;
            if (arrivals == 1) {
                // The first run is lost with the path of its instance.
                fleet.cut(0, Cut::Reset);
            } else {
                connection.reset();
            }
        });
    }
    fleet.start();
    const auto caller = fleet.run(0, "broken", "/safe/x");
    CHECK(caller->status() == 502);
    CHECK(arrivals == 2);
}

TEST_CASE("a request whose upstreams fail reaches no more of them by way of several peers than its route allows")
{
    const std::string path = GENERATE("/safe/x", "/stream/x", "/once/x");
    GatewayFleet fleet({"a", "a", "a", "a"});
    std::set<std::string> reached;
    std::size_t arrivals = 0;
    for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
        fleet.addUpstream(
            i < engineCount ? "engine" : "app", [&](Connection &connection, const std::string &request, int number) {
                if (headerField(request, "Request-Id") != "broken") {
                    respond(connection, request, number);
                    return;
                }
                ++arrivals;
                reached.insert(headerField(request, "Expected-Upstream"));
                connection.reset();
            });
    }
    fleet.start();
    fleet.cut(0, Cut::Reset);
    fleet.run(0, "first", "/safe/x");
    const auto caller = fleet.run(0, "broken", path);
    CHECK(caller->status() == 502);
    CHECK(reached.size() <= 2);
    CHECK(arrivals >= (path == "/once/x" ? 1 : 2));
    CHECK((path != "/once/x" || arrivals == 1));
}

TEST_CASE("an instance uses its own path again soon after a cut and probes no longer")
{
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging, Cut::Closing);
    GatewayFleet fleet({"a", "a", "b"});
    addUpstreams(fleet);
    fleet.start();
    fleet.cut(0, cut);
    for (int n = 0; n < 4; ++n) {
        fleet.run(0, "first" + std::to_string(n), pathOf(n));
    }
    REQUIRE_FALSE(fleet.status(0)["partition"].is_null());
    CHECK(fleet.callerAddresses(0).find(fleet.callerAddress(0)) == std::string::npos);
    fleet.runFor(noticeTime);
    CHECK(fleet.callerAddresses(1).find(fleet.callerAddress(0)) == std::string::npos);
    fleet.restore(0);
    CHECK(fleet.runUntil(
        [&] {
            return fleet.status(0)["partition"].is_null();
        },
        Milliseconds(1000)));
    fleet.runFor(noticeTime);
    CHECK(fleet.callerAddresses(1).find(fleet.callerAddress(0)) != std::string::npos);
    for (const std::size_t i : {0, 1, 2}) {
        const nlohmann::json status = fleet.status(i);
        for (const nlohmann::json &upstream : status["upstreams"]) {
            CHECK(upstream["state"] == "live");
        }
    }
    const auto connectionCount = [&] {
        int count = 0;
        for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
            count += fleet.upstream(0, i).connections;
        }
        return count;
    };
    fleet.runFor(Milliseconds(200));
    const int before = connectionCount();
    fleet.runFor(Milliseconds(1500));
    CHECK(connectionCount() == before);
    const std::size_t requestsBefore = fleet.requestCount(0);
    CHECK(countServed(fleet, 0, 9, "after") == 9);
    CHECK(fleet.requestCount(0) == requestsBefore + 9);
}

TEST_CASE("a partition lasts while a busy host closes new connections late")
{
    GatewayFleet fleet({"a", "a"});
    addUpstreams(fleet);
    fleet.start();
    fleet.cut(0, Cut::Closing);
    countServed(fleet, 0, 4, "first");
    REQUIRE_FALSE(fleet.status(0)["partition"].is_null());
    for (std::size_t i = 0; i < engineCount + serviceCount; ++i) {
        fleet.upstream(0, i).setClosing(true, Milliseconds(60));
    }
    fleet.runFor(probeTime);
    const nlohmann::json partition = fleet.status(0)["partition"];
    REQUIRE_FALSE(partition.is_null());
    CHECK(partition["since_ms_ago"] >= probeTime.count());
}

TEST_CASE("a stopping peer takes no relayed requests")
{
    GatewayFleet fleet({"a", "a", "a"});
    addUpstreams(fleet);
    fleet.start();
    fleet.cut(0, Cut::Refusing);
    fleet.run(0, "first", "/safe/x");
    const std::size_t before = fleet.requestCount(1);
    fleet.beginStop(1);
    CHECK(countServed(fleet, 0, 12, "id") == 12);
    CHECK(fleet.requestCount(1) == before);
}

TEST_CASE("answers of upstreams that were relayed state that they leave")
{
    GatewayFleet fleet({"a", "b"});
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", respond);
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", [](Connection &connection, const std::string &request, int /*number*/) {
            connection.send(plainResponse(request, 200, "ok", "Response-Signature: s\r\nLeaving: 1\r\n"));
        });
    }
    fleet.start();
    fleet.cut(0, Cut::Refusing);
    const auto caller = fleet.run(0, "id-1", "/safe/x");
    REQUIRE(caller->status() == 200);
    CHECK(headerField(caller->received, "Leaving") == "1");
    CHECK(caller->received.find("Magnolia-Relay") == std::string::npos);
    const nlohmann::json status = fleet.status(0);
    const auto &upstreams = status["upstreams"];
    CHECK(std::count_if(upstreams.begin(), upstreams.end(), [](const nlohmann::json &it) {
        return it["state"] == "leaving";
    }) == 1);
}

TEST_CASE("part of an answer without a length is not handed out as the whole for an upload that a peer passes on")
{
    const bool isReset = GENERATE(true, false);
    const std::string path = GENERATE("/once/x", "/safe/x");
    const std::size_t uploadSize = GENERATE(std::size_t{1'000'000}, std::size_t{3'000'000});
    GatewayFleet fleet({"a", "a"});
    for (std::size_t i = 0; i < engineCount; ++i) {
        fleet.addUpstream("engine", respond);
    }
    for (std::size_t i = 0; i < serviceCount; ++i) {
        fleet.addUpstream("app", [&fleet, isReset](Connection &connection, const std::string &request, int number) {
            if (headerField(request, "Request-Id") != "upload") {
                respond(connection, request, number);
                return;
            }
            connection.send("HTTP/1.1 200 OK\r\nRequest-Id: upload\r\nResponse-Signature: s\r\n\r\npart");
            fleet.loop.after(Milliseconds(20), [stream = connection.stream, isReset] {
                if (isReset) {
                    stream->reset();
                } else {
                    stream->shutdownOutput();
                }
            });
        });
    }
    fleet.start();
    fleet.cut(0, Cut::Refusing);
    fleet.run(0, "first", "/safe/x");
    for (std::size_t i = engineCount; i < engineCount + serviceCount; ++i) {
        fleet.upstream(1, i).setRespondingEarly();
    }
    const auto caller = fleet.send(0, "upload", path, {}, "4000", std::string(uploadSize, 'u'));
    fleet.runUntil([&] {
        return caller->isComplete() || caller->hasEnded;
    });
    CHECK(caller->status() == 502);
    CHECK(caller->body().empty());
}
