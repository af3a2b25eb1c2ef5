// Crashes, pauses and platform outages: an applied configuration revision stays in use, and KV memory is freed.
#include "fleet.h"
#include "waiting.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace magnolia::sessions;

namespace
{

std::uint64_t configurationRevision(EntryProcess &entry)
{
    return fetchJson(entry.operatorAddress(), "/status").at("configuration_revision").get<std::uint64_t>();
}

bool waitForRevision(EntryProcess &entry, std::uint64_t revision)
{
    return waitUntil([&] {
        return configurationRevision(entry) == revision;
    });
}

std::string peerState(EntryProcess &entry, const std::string &peer)
{
    const auto status = fetchJson(entry.operatorAddress(), "/status");
    for (const auto &row : status.at("peers")) {
        if (row.at("id") == peer) {
            return row.at("state").get<std::string>();
        }
    }
    return "unknown";
}

std::string upstreamState(EntryProcess &entry, const std::string &upstream)
{
    const auto status = fetchJson(entry.operatorAddress(), "/status");
    for (const auto &row : status.at("upstreams")) {
        if (row.at("id") == upstream) {
            return row.at("state").get<std::string>();
        }
    }
    return "unknown";
}

} // namespace

TEST_CASE("session: a change reaches an entry that was paused during the publication, although the service is down")
{
    Fleet fleet({3, 1});
    const std::uint64_t before = configurationRevision(fleet.entry(0));
    fleet.entry(2).process().sendSignal(SIGSTOP);
    fleet.publishConfiguration();
    CHECK(waitForRevision(fleet.entry(0), before + 1));
    CHECK(waitForRevision(fleet.entry(1), before + 1));
    fleet.configuration().control({{"down", true}});
    fleet.entry(2).process().sendSignal(SIGCONT);
    CHECK(waitForRevision(fleet.entry(2), before + 1));
}

TEST_CASE("session: an entry that restarts while the service is stale applies the revision of its peers")
{
    Fleet fleet({3, 1});
    const std::uint64_t before = configurationRevision(fleet.entry(0));
    fleet.configuration().control({{"stale", true}});
    fleet.configuration().control({{"stale", false}});
    fleet.publishConfiguration();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(waitForRevision(fleet.entry(i), before + 1));
    }
    // From here on the service returns the content from before the change.
    fleet.configuration().control({{"stale", true}});
    fleet.entry(2).process().kill();
    fleet.entry(2).start();
    REQUIRE(fleet.entry(2).waitUntilReady());
    CHECK(configurationRevision(fleet.entry(2)) == before + 1);
    CHECK(configurationRevision(fleet.entry(0)) == before + 1);
}

TEST_CASE("session: the streams of a killed entry are released after its restart")
{
    Fleet fleet({2, 1, {"--token-interval-ms", "20"}});
    const auto freeTokens = [&] {
        return fetchJson(fleet.engine().address(), "/v1/load").at("free_memory_tokens").get<std::uint64_t>();
    };
    const std::uint64_t before = freeTokens();
    StreamingCall caller(fleet.entry(0).callerAddress(), counterRequest("killed-1", 200, true));
    CHECK(caller.readHead().status == 200);
    fleet.entry(0).process().kill();
    CHECK_FALSE(fetchJson(fleet.engine().address(), "/v1/streams").at("streams").empty());
    fleet.entry(0).start();
    REQUIRE(fleet.entry(0).waitUntilReady());
    CHECK(Fleet::waitUntilNoStreams(fleet.engine()));
    CHECK(waitUntil([&] {
        return freeTokens() == before;
    }));
}

TEST_CASE("session: peers mark a killed and a paused entry as dead, and the paused one as alive when it resumes")
{
    Fleet fleet({3, 1});
    CHECK(waitUntil([&] {
        return peerState(fleet.entry(0), "entry-3") == "alive";
    }));
    fleet.entry(1).process().kill();
    fleet.entry(2).process().sendSignal(SIGSTOP);
    CHECK(waitUntil([&] {
        return peerState(fleet.entry(0), "entry-2") == "dead";
    }));
    CHECK(waitUntil([&] {
        return peerState(fleet.entry(0), "entry-3") == "dead";
    }));
    fleet.entry(2).process().sendSignal(SIGCONT);
    CHECK(waitUntil([&] {
        return peerState(fleet.entry(0), "entry-3") == "alive";
    }));
    // The resumed entry also serves requests.
    CHECK(call(fleet.entry(2).callerAddress(), counterRequest("woken-1", 3, false)).status == 200);
}

TEST_CASE("session: no entry sends requests to a leaving upstream that the instance list still shows as live")
{
    Fleet fleet({3, 2});
    fleet.engine(0).control({{"leaving", true}});
    const std::string leaving = fleet.engine(0).id();
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(waitUntil([&] {
            return upstreamState(fleet.entry(i), leaving) == "leaving";
        }));
        const std::size_t before = fleet.engine(0).executedRequests().size();
        for (int n = 0; n < 5; ++n) {
            CHECK(call(fleet.entry(i).callerAddress(), counterRequest("leaving-" + std::to_string(n), 2, false)).status
                == 200);
        }
        CHECK(fleet.engine(0).executedRequests().size() == before);
    }
}
