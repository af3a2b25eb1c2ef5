// Checks that a planned stop leaves no request without an answer that an upstream has received.
#include "gatewayfixture.h"
#include "gatewayfleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** The grace period of a stop, which is the default of the settings, and some time to end. */
constexpr Milliseconds stopTime{8500};

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
    for (const int sentAtMs : {0, 1000, 2000, 2600, 3000, 4000, 5000, 6000, 7000}) {
        fleet.loop.after(Milliseconds(sentAtMs), [&, sentAtMs] {
            for (const char *path : {"/once/x", "/safe/x", "/stream/x", "/stream/begun"}) {
                for (const char *deadlineMs : {"600", "3000", "15000"}) {
                    const std::string id = std::to_string(sentAtMs) + path + '-' + deadlineMs;
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
