// Gateway processes before an upstream that limits the requests of all of them together.
#include "gatewaygroup.h"
#include "ledger.h"
#include "soakupstream.h"

#include "framework/global/random.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::soak;

TEST_CASE("an upstream that names a limit receives no more than it from all gateways together")
{
    constexpr Milliseconds startLimit{12'000};
    constexpr int requestCount = 160;
    constexpr Milliseconds requestInterval{50};
    GatewayGroup group;
    Ledger ledger(true);
    Random random(1);
    SoakUpstream::Options options;
    options.service = "app";
    options.zone = "z0";
    options.ip = GatewayGroup::loopbackAddress(150);
    SoakUpstream upstream(group.loop, options, group.store, ledger, random);
    upstream.start("i-1");
    REQUIRE(group.runUntil(
        [&] {
            return group.isInForceEverywhere(1) && group.isUpstreamCountEverywhere(1);
        },
        startLimit));
    upstream.setLimit(2);
    for (int i = 0; i < requestCount; ++i) {
        group.sendRequest("r" + std::to_string(i));
        group.runFor(requestInterval);
    }
    CHECK(ledger.violations().empty());
    CHECK(group.isUpstreamFieldEverywhere("limit_per_second", 2.0));
    const std::size_t arrivals = ledger.records().size();
    CHECK(arrivals >= 10);
    // Without a limit most requests arrive again.
    upstream.setLimit(std::nullopt);
    int sent = 0;
    CHECK(group.runUntil(
        [&] {
            group.sendRequest("s" + std::to_string(sent++));
            return ledger.records().size() >= arrivals + 60;
        },
        startLimit));
}
