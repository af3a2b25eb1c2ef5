// Gateway processes before upstreams that crash when they begin on certain requests.
#include "gatewaygroup.h"
#include "ledger.h"
#include "soakupstream.h"

#include "framework/global/random.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::soak;

namespace
{

constexpr Milliseconds startLimit{12'000};
constexpr Milliseconds restartDelay{1200};

/** Upstreams of one service that come back under a new id some time after they crashed. */
struct CrashingUpstreams
{
    CrashingUpstreams(GatewayGroup &theGroup, Ledger &ledger, const std::string &service, std::size_t count,
        std::function<std::string(const Request &)> findCrashTrigger)
        : group(theGroup)
    {
        SoakUpstream::Options options;
        options.service = service;
        options.zone = "z0";
        options.isEngine = service == "engine";
        options.findCrashTrigger = std::move(findCrashTrigger);
        options.onCrashed = [this](SoakUpstream &upstream) {
            group.loop.after(restartDelay, [this, &upstream] {
                upstream.stop();
                upstream.start(nextId());
            });
        };
        for (std::size_t i = 0; i < count; ++i) {
            constexpr std::size_t firstHost = 150;
            options.ip = GatewayGroup::loopbackAddress(firstHost + i);
            upstreams.push_back(std::make_unique<SoakUpstream>(group.loop, options, group.store, ledger, random));
            upstreams.back()->start(nextId());
        }
    }

    std::string nextId()
    {
        return "i-" + std::to_string(++startCount);
    }

    GatewayGroup &group;
    Random random{1};
    int startCount = 0;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams;
};

} // namespace

TEST_CASE("prompts with a part that crashed five engines no longer reach engines while others with their first part do")
{
    constexpr std::size_t engineCount = 6;
    constexpr int rounds = 100;
    constexpr int maxCrashCount = 5;
    constexpr Milliseconds requestInterval{40};
    GatewayGroup group;
    Ledger ledger(true);
    ledger.addCrashTrigger("dead", maxCrashCount);
    CrashingUpstreams engines(group, ledger, "engine", engineCount, [](const Request &request) {
        const bool isTriggered = request.head.fields.value("Prompt-Prefix").find("dead:") != std::string_view::npos;
        return std::string(isTriggered ? "dead" : "");
    });
    REQUIRE(group.runUntil(
        [&] {
            return group.isInForceEverywhere(1) && group.isUpstreamCountEverywhere(engineCount);
        },
        startLimit));
    std::vector<std::string> lateSoundIds;
    for (int i = 0; i < rounds; ++i) {
        const std::string number = std::to_string(i);
        group.sendPrompt("bad" + number, "first:40,dead:200,own" + number + ":500");
        group.runFor(requestInterval);
        group.sendPrompt("good" + number, "first:40,other:200,mine" + number + ":500");
        if (i >= rounds / 2) {
            lateSoundIds.push_back("good" + number);
        }
        group.runFor(requestInterval);
    }
    group.runFor(Milliseconds(1500));
    CHECK(ledger.violations().empty());
    CHECK(ledger.crashCount("dead") <= maxCrashCount + 3);
    for (const std::string &id : lateSoundIds) {
        INFO(id);
        CHECK(group.statusOf(id) == 200);
        CHECK(group.isStreamComplete(id));
    }
}

TEST_CASE("a request that crashed three upstreams no longer reaches upstreams when it comes again while others do")
{
    constexpr std::size_t upstreamCount = 3;
    constexpr int rounds = 160;
    constexpr int roundsPerRepeat = 5;
    constexpr int maxCrashCount = 3;
    constexpr Milliseconds requestInterval{60};
    const std::string poison = "poison";
    GatewayGroup group;
    Ledger ledger(true);
    ledger.addCrashTrigger(poison, maxCrashCount);
    CrashingUpstreams upstreams(group, ledger, "app", upstreamCount, [&](const Request &request) {
        return request.body == poison ? poison : std::string();
    });
    REQUIRE(group.runUntil(
        [&] {
            return group.isInForceEverywhere(1) && group.isUpstreamCountEverywhere(upstreamCount);
        },
        startLimit));
    std::vector<std::string> lateSoundIds;
    for (int i = 0; i < rounds; ++i) {
        const std::string number = std::to_string(i);
        if (i % roundsPerRepeat == 0) {
            group.sendRequest("bad" + number, "/safe/x", poison);
        }
        group.sendRequest("good" + number, "/safe/x", "body" + number);
        if (i >= rounds / 2) {
            lateSoundIds.push_back("good" + number);
        }
        group.runFor(requestInterval);
    }
    group.runFor(Milliseconds(1000));
    CHECK(ledger.violations().empty());
    CHECK(ledger.crashCount(poison) <= maxCrashCount + 3);
    for (const std::string &id : lateSoundIds) {
        INFO(id);
        CHECK(group.statusOf(id) == 200);
    }
}
