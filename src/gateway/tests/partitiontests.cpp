// Checks what callers get, and what peers are told, while instances are cut from all upstreams.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

#include <array>

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
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging, Cut::Refusing);
    GatewayFleet fleet({"a", "a", "b"});
    addUpstreams(fleet);
    fleet.start();
    REQUIRE(countServed(fleet, 0, 9, "before") == 9);
    fleet.cut(0, cut);
    // The first requests show that the upstreams cannot be reached.
    countServed(fleet, 0, 3, "first");
    constexpr int requestCount = 30;
    CHECK(countServed(fleet, 0, requestCount, "cut") == requestCount);
}

TEST_CASE("an instance that is cut from all upstreams does not make its peers leave them out")
{
    const Cut cut = GENERATE(Cut::Reset, Cut::Hanging, Cut::Refusing);
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
