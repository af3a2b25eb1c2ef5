// Tests that information spreads to all instances in time, is never reverted, and converges when a partition heals.
#include "membership/testing/cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::testing::forEachSeed;
using magnolia::testing::LinkFaults;
using membership::testing::Cluster;

namespace
{

const LinkFaults faultyLinks{0.2, 0.2, Milliseconds(1), Milliseconds(400)};

std::size_t clusterSize(std::uint64_t seed)
{
    return 3 + seed % 5;
}

void startAndConverge(Cluster &cluster)
{
    cluster.startAll();
    cluster.schedule().runFor(Milliseconds(1100));
    REQUIRE(cluster.runUntil(
        [&] {
            return cluster.isConverged();
        },
        Seconds(20)));
    cluster.schedule().runFor(Milliseconds(cluster.schedule().random().below(2000)));
}

std::uint64_t sharedVersion(Cluster &cluster, const std::string &name)
{
    const auto &shared = cluster.state(name).sharedValues;
    const auto it = shared.find("configuration");
    return it == shared.end() ? 0 : it->second.version;
}

bool isVersionKnownToAll(Cluster &cluster, std::uint64_t version)
{
    const auto nodes = cluster.runningNodes();
    return std::all_of(nodes.begin(), nodes.end(), [&](const std::string &name) {
        return sharedVersion(cluster, name) == version;
    });
}

bool isUpstreamLeavingForAll(Cluster &cluster, const char *upstream, bool expected)
{
    const auto nodes = cluster.runningNodes();
    return std::all_of(nodes.begin(), nodes.end(), [&](const std::string &name) {
        return makeMembershipView(cluster.state(name)).leavingUpstreams.contains(UpstreamId(upstream)) == expected;
    });
}

bool isAliveOrSuspect(PeerState state)
{
    return state == PeerState::Alive || state == PeerState::Suspect;
}

} // namespace

TEST_CASE("all members see a leaving member within 3 s, and never as alive or suspect again in the same incarnation")
{
    forEachSeed(10000, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        const bool isFaulty = seed % 2 == 0;
        if (isFaulty) {
            cluster.network().setFaults(faultyLinks);
        }
        // May provoke a refutation, so that records showing the member as alive and not leaving are in transit.
        cluster.pause("e100", Milliseconds(cluster.schedule().random().below(1200)));
        cluster.schedule().runFor(Milliseconds(1200));
        const MonoTime since = cluster.schedule().now();
        announceLeave(cluster.state("e100"));
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.isSeenByAll("e100", PeerState::Leaving);
            },
            Seconds(3)));
        cluster.schedule().runFor(Seconds(4));
        // A lagging published list still shows the member as live.
        cluster.publishList();
        cluster.schedule().runFor(Seconds(2));
        std::map<std::string, bool> hasLeft;
        for (const auto &change : cluster.changes()) {
            if (change.at < since || change.event.kind != EventKind::MemberChanged || change.event.subject != "e100") {
                continue;
            }
            REQUIRE_FALSE((hasLeft[change.observer] && isAliveOrSuspect(change.event.newState)));
            hasLeft[change.observer] = hasLeft[change.observer] || change.event.newState == PeerState::Leaving;
        }
        REQUIRE(hasLeft.size() == cluster.runningNodes().size() - 1);
    });
}

TEST_CASE("all members learn within 3 s that an upstream is leaving, and later that it is back")
{
    forEachSeed(10000, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        cluster.network().setFaults({0.05, 0.1, Milliseconds(1), Milliseconds(50)});
        const auto reportU1 = [&](const char *name, bool isLeaving) {
            cluster.applyOutput(name, reportUpstream(cluster.state(name), UpstreamId("u1"), isLeaving, cluster.now()));
        };
        reportU1("e100", true);
        REQUIRE(cluster.runUntil(
            [&] {
                return isUpstreamLeavingForAll(cluster, "u1", true);
            },
            Seconds(3)));
        // Another instance uses an older answer of the upstream, which must not undo the leaving report.
        reportU1("e101", false);
        cluster.schedule().runFor(Seconds(4));
        REQUIRE(isUpstreamLeavingForAll(cluster, "u1", true));
        cluster.schedule().runFor(Seconds(4));
        reportU1("e101", false);
        REQUIRE(cluster.runUntil(
            [&] {
                return isUpstreamLeavingForAll(cluster, "u1", false);
            },
            Seconds(3)));
    });
}

TEST_CASE("all members learn of 40 simultaneously leaving upstreams within 3 s")
{
    forEachSeed(100, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, 9);
        startAndConverge(cluster);
        cluster.schedule().runFor(Seconds(20));
        constexpr std::size_t upstreamCount = 40;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            const UpstreamId upstream("upstream-" + std::to_string(i));
            cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), upstream, true, cluster.now()));
        }
        REQUIRE(cluster.runUntil(
            [&] {
                const auto nodes = cluster.runningNodes();
                return std::all_of(nodes.begin(), nodes.end(), [&](const std::string &name) {
                    return makeMembershipView(cluster.state(name)).leavingUpstreams.size() == upstreamCount;
                });
            },
            Seconds(3)));
    });
}

TEST_CASE("an upstream report that is not renewed expires")
{
    Cluster cluster(1, 3);
    startAndConverge(cluster);
    cluster.applyOutput("e100", reportUpstream(cluster.state("e100"), UpstreamId("u1"), true, cluster.now()));
    cluster.schedule().runFor(Seconds(598));
    CHECK(isUpstreamLeavingForAll(cluster, "u1", true));
    cluster.schedule().runFor(Seconds(4));
    CHECK(isUpstreamLeavingForAll(cluster, "u1", false));
    CHECK(cluster.state("e101").upstreamReports.empty());
}

TEST_CASE("an upstream report with a timestamp too far ahead of the clock is ignored")
{
    MembershipState state = makeMembershipState({}, InstanceId("e1"), Incarnation(1), "e1:1");
    MembershipMessage message;
    message.senderRecord.incarnation = Incarnation(1);
    message.upstreamUpdates.push_back({UpstreamId("u1"), {true, 20'000}});
    (void)step(state, InstanceId("e2"), message, {});
    CHECK(state.upstreamReports.empty());
    message.upstreamUpdates.front().report.seenAtMs = 10'000;
    (void)step(state, InstanceId("e2"), message, {});
    CHECK(state.upstreamReports.size() == 1);
}

TEST_CASE("all members learn the highest version of a shared value within 3 s, and never go back to a lower one")
{
    forEachSeed(1500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        cluster.network().setFaults({0.05, 0.2, Milliseconds(1), Milliseconds(300)});
        std::map<std::string, std::uint64_t> highestVersions;
        for (const std::uint64_t version : {7, 5, 9, 8}) {
            const auto nodes = cluster.runningNodes();
            const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
            REQUIRE(shareValue(cluster.state(name), "configuration", version, "hash"));
            for (int i = 0; i < 5; ++i) {
                cluster.schedule().runFor(Milliseconds(50));
                for (const std::string &node : nodes) {
                    REQUIRE(sharedVersion(cluster, node) >= highestVersions[node]);
                    highestVersions[node] = sharedVersion(cluster, node);
                }
            }
        }
        REQUIRE(cluster.runUntil(
            [&] {
                return isVersionKnownToAll(cluster, 9);
            },
            Seconds(3)));
    });
}

TEST_CASE("a starting member learns shared values and leaving upstreams from the first member that answers")
{
    forEachSeed(500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        REQUIRE(shareValue(cluster.state("e101"), "configuration", 9, "hash"));
        cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), UpstreamId("u1"), true, cluster.now()));
        cluster.schedule().runFor(Seconds(20));
        cluster.crash("e100");
        cluster.start("e100");
        REQUIRE(cluster.runUntil(
            [&] {
                return isVersionKnownToAll(cluster, 9) && isUpstreamLeavingForAll(cluster, "u1", true);
            },
            Milliseconds(500)));
    });
}

TEST_CASE("a starting member learns all leaving upstreams even if they do not fit into one message")
{
    forEachSeed(50, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        constexpr std::size_t upstreamCount = 100;
        for (std::size_t i = 0; i < upstreamCount; ++i) {
            const UpstreamId upstream("u" + std::to_string(i));
            cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), upstream, true, cluster.now()));
        }
        cluster.schedule().runFor(Seconds(10));
        cluster.crash("e100");
        cluster.start("e100");
        REQUIRE(cluster.runUntil(
            [&] {
                return makeMembershipView(cluster.state("e100")).leavingUpstreams.size() == upstreamCount;
            },
            Seconds(10)));
    });
}

TEST_CASE("both sides of a partition keep working, and converge to the newer value within 10 s after it heals")
{
    forEachSeed(1500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, 4 + seed % 5);
        startAndConverge(cluster);
        cluster.network().partition({"e100", "e101"});
        REQUIRE(shareValue(cluster.state("e100"), "configuration", 3, "a"));
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.observedState("e100", "e101") == PeerState::Alive
                    && cluster.observedState("e100", "e103") == PeerState::Dead
                    && cluster.observedState("e102", "e101") == PeerState::Dead
                    && cluster.observedState("e102", "e103") == PeerState::Alive;
            },
            Seconds(30)));
        REQUIRE(shareValue(cluster.state("e102"), "configuration", 4, "b"));
        cluster.schedule().runFor(Milliseconds(cluster.schedule().random().below(90000)));
        REQUIRE(sharedVersion(cluster, "e101") == 3);
        cluster.network().heal();
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.isConverged() && isVersionKnownToAll(cluster, 4);
            },
            Seconds(10)));
    });
}

TEST_CASE("an unlisted member is kept while it answers, and removed when it stops answering")
{
    forEachSeed(300, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        cluster.removeFromList("e100");
        cluster.publishList();
        cluster.schedule().runFor(Seconds(5));
        REQUIRE(cluster.isSeenByAll("e100", PeerState::Alive));
        cluster.crash("e100");
        cluster.schedule().runFor(Seconds(75));
        for (const std::string &name : cluster.runningNodes()) {
            REQUIRE_FALSE(cluster.state(name).members.contains(InstanceId("e100")));
        }
    });
}

TEST_CASE("a new member that is missing in the list of the others becomes known to all")
{
    forEachSeed(300, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, clusterSize(seed));
        startAndConverge(cluster);
        cluster.addToList("e900");
        cluster.start("e900");
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.isSeenByAll("e900", PeerState::Alive) && cluster.isConverged();
            },
            Seconds(3)));
    });
}

TEST_CASE("a listed instance that never answered is shown as dead")
{
    Cluster cluster(1, 3);
    startAndConverge(cluster);
    cluster.addToList("e900");
    cluster.publishList();
    cluster.schedule().runFor(Seconds(5));
    CHECK(cluster.isSeenByAll("e900", PeerState::Dead));
    CHECK(makeMembershipView(cluster.state("e100")).peers.contains(InstanceId("e900")));
}

TEST_CASE("an older published list does not replace a newer one")
{
    MembershipState state = makeMembershipState({}, InstanceId("e1"), Incarnation(1), "e1:1");
    PublishedList list;
    list.revision = 5;
    PublishedInstance instance;
    instance.id = "e2";
    instance.peerAddress = "e2:1";
    list.instances.push_back(instance);
    (void)applyPublishedList(state, list, {});
    list.revision = 4;
    list.instances.clear();
    (void)applyPublishedList(state, list, {});
    CHECK(state.members.at(InstanceId("e2")).isListed);
}

TEST_CASE("an instance that learns of a higher incarnation of itself raises its own above it")
{
    MembershipState state = makeMembershipState({}, InstanceId("e1"), Incarnation(10), "e1:1");
    MembershipMessage message;
    message.senderRecord.incarnation = Incarnation(1);
    message.memberUpdates.push_back({InstanceId("e1"), {Incarnation(20), 0, MemberStatus::Alive, false, "e1:1"}});
    const MembershipOutput output = step(state, InstanceId("e2"), message, {});
    CHECK(state.selfRecord.incarnation == Incarnation(21));
    REQUIRE_FALSE(output.events.empty());
    CHECK(std::any_of(output.events.begin(), output.events.end(), [](const MembershipEvent &event) {
        return event.kind == EventKind::IncarnationRaised;
    }));
}
