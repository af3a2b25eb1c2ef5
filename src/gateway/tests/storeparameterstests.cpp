// Tests of the times for reading the store that follow from the settings.
#include "gateway/internal/storeparameters.h"
#include "gateway/types/gatewaysettings.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::gateway;

TEST_CASE("a lost watch is found and replaced within the time in which a configuration has to be in force")
{
    for (const Milliseconds applyTime : {Milliseconds(1000), Milliseconds(2000), Milliseconds(4000)}) {
        for (const Milliseconds heartbeat : {Milliseconds(500), Milliseconds(1200), Milliseconds(5000)}) {
            INFO(applyTime.count() << " ms, heartbeats of " << heartbeat.count() << " ms");
            GatewaySettings settings;
            settings.configurationApplyTime = applyTime;
            settings.upstreamHeartbeatInterval = heartbeat;
            const auto reader = storeReaderParameters(settings);
            CHECK(reader.check.interval + reader.check.minSpread + 2 * reader.watchRenewalDelay < applyTime);
            // An outage is noticed before a lease of three heartbeats can expire, and one lost announcement is none.
            CHECK(reader.check.silenceLimit < 3 * heartbeat);
            CHECK(reader.check.silenceLimit > 2 * reader.check.interval);
            CHECK(publishedStateParameters(settings).restoredEntryDelay > 3 * heartbeat);
        }
    }
}

TEST_CASE("a lost answer about an evacuation is found in the time in which an evacuation has to be in force")
{
    GatewaySettings settings;
    settings.upstreamHeartbeatInterval = Milliseconds(60'000);
    settings.configurationApplyTime = Milliseconds(60'000);
    settings.evacuationApplyTime = Milliseconds(5000);
    const auto check = storeReaderParameters(settings).check;
    CHECK(check.interval + check.minSpread < settings.evacuationApplyTime);
}
