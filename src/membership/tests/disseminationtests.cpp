// What one instance knows reaches all in time, never goes back, and converges when a partition heals.
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

std::size_t sizeOf(std::uint64_t seed)
{
    return 3 + seed % 5;
}

void converge(Cluster &cluster)
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

bool isSharedByAll(Cluster &cluster, std::uint64_t version)
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

bool isHeldAlive(PeerState state)
{
    return state == PeerState::Alive || state == PeerState::Suspect;
}

} // namespace

TEST_CASE("a leaving member is known to all within 3 s, and within its incarnation never shown as staying again")
{
    forEachSeed(10000, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        const bool isFaulty = seed % 2 == 0;
        if (isFaulty) {
            cluster.network().setFaults(faultyLinks);
        }
        // A refutation race beside it: statements of being alive are on their way.
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
        // The list that a lagging replica serves still says that the member is live.
        cluster.publishList();
        cluster.schedule().runFor(Seconds(2));
        std::map<std::string, bool> hasLeft;
        for (const auto &change : cluster.changes()) {
            if (change.at < since || change.event.kind != EventKind::MemberChanged || change.event.subject != "e100") {
                continue;
            }
            REQUIRE_FALSE((hasLeft[change.observer] && isHeldAlive(change.event.newState)));
            hasLeft[change.observer] = hasLeft[change.observer] || change.event.newState == PeerState::Leaving;
        }
        REQUIRE(hasLeft.size() == cluster.runningNodes().size() - 1);
    });
}

TEST_CASE("an upstream that one instance saw leaving is known to all within 3 s, and its return as well")
{
    forEachSeed(10000, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        cluster.network().setFaults({0.05, 0.1, Milliseconds(1), Milliseconds(50)});
        const auto report = [&](const char *name, bool isLeaving) {
            cluster.applyOutput(name, reportUpstream(cluster.state(name), UpstreamId("u1"), isLeaving, cluster.now()));
        };
        report("e100", true);
        REQUIRE(cluster.runUntil(
            [&] {
                return isUpstreamLeavingForAll(cluster, "u1", true);
            },
            Seconds(3)));
        // Another instance works with an older answer of the upstream: no reason to send it work again.
        report("e101", false);
        cluster.schedule().runFor(Seconds(4));
        REQUIRE(isUpstreamLeavingForAll(cluster, "u1", true));
        cluster.schedule().runFor(Seconds(4));
        report("e101", false);
        REQUIRE(cluster.runUntil(
            [&] {
                return isUpstreamLeavingForAll(cluster, "u1", false);
            },
            Seconds(3)));
    });
}

TEST_CASE("a rack of upstreams that leave at once is known to all within 3 s")
{
    forEachSeed(100, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, 9);
        converge(cluster);
        cluster.schedule().runFor(Seconds(20));
        constexpr std::size_t count = 40;
        for (std::size_t i = 0; i < count; ++i) {
            const UpstreamId upstream("upstream-" + std::to_string(i));
            cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), upstream, true, cluster.now()));
        }
        REQUIRE(cluster.runUntil(
            [&] {
                const auto nodes = cluster.runningNodes();
                return std::all_of(nodes.begin(), nodes.end(), [&](const std::string &name) {
                    return makeMembershipView(cluster.state(name)).leavingUpstreams.size() == count;
                });
            },
            Seconds(3)));
    });
}

TEST_CASE("a report on an upstream that nobody renews is forgotten")
{
    Cluster cluster(1, 3);
    converge(cluster);
    cluster.applyOutput("e100", reportUpstream(cluster.state("e100"), UpstreamId("u1"), true, cluster.now()));
    cluster.schedule().runFor(Seconds(598));
    CHECK(isUpstreamLeavingForAll(cluster, "u1", true));
    cluster.schedule().runFor(Seconds(4));
    CHECK(isUpstreamLeavingForAll(cluster, "u1", false));
    CHECK(cluster.state("e101").upstreamReports.empty());
}

TEST_CASE("a report that is dated ahead of the clock is ignored")
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

TEST_CASE("the highest version of a shared value is known to all within 3 s and never falls")
{
    forEachSeed(1500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        cluster.network().setFaults({0.05, 0.2, Milliseconds(1), Milliseconds(300)});
        std::map<std::string, std::uint64_t> highest;
        for (const std::uint64_t version : {7, 5, 9, 8}) {
            const auto nodes = cluster.runningNodes();
            const std::string &name = nodes[cluster.schedule().random().below(nodes.size())];
            REQUIRE(shareValue(cluster.state(name), "configuration", version, "hash"));
            for (int i = 0; i < 5; ++i) {
                cluster.schedule().runFor(Milliseconds(50));
                for (const std::string &node : nodes) {
                    REQUIRE(sharedVersion(cluster, node) >= highest[node]);
                    highest[node] = sharedVersion(cluster, node);
                }
            }
        }
        REQUIRE(cluster.runUntil(
            [&] {
                return isSharedByAll(cluster, 9);
            },
            Seconds(3)));
    });
}

TEST_CASE("a member that starts learns shared values and leaving upstreams from the first that answers")
{
    forEachSeed(500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        REQUIRE(shareValue(cluster.state("e101"), "configuration", 9, "hash"));
        cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), UpstreamId("u1"), true, cluster.now()));
        cluster.schedule().runFor(Seconds(20));
        cluster.crash("e100");
        cluster.start("e100");
        REQUIRE(cluster.runUntil(
            [&] {
                return isSharedByAll(cluster, 9) && isUpstreamLeavingForAll(cluster, "u1", true);
            },
            Milliseconds(500)));
    });
}

TEST_CASE("a member that starts learns more leaving upstreams than one message holds")
{
    forEachSeed(50, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        constexpr std::size_t count = 100;
        for (std::size_t i = 0; i < count; ++i) {
            const UpstreamId upstream("u" + std::to_string(i));
            cluster.applyOutput("e101", reportUpstream(cluster.state("e101"), upstream, true, cluster.now()));
        }
        cluster.schedule().runFor(Seconds(10));
        cluster.crash("e100");
        cluster.start("e100");
        REQUIRE(cluster.runUntil(
            [&] {
                return makeMembershipView(cluster.state("e100")).leavingUpstreams.size() == count;
            },
            Seconds(10)));
    });
}

TEST_CASE("both sides of a partition go on, and converge within 10 s after it heals, with the newer value")
{
    forEachSeed(1500, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, 4 + seed % 5);
        converge(cluster);
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
                return cluster.isConverged() && isSharedByAll(cluster, 4);
            },
            Seconds(10)));
    });
}

TEST_CASE("a member that no list names is kept while it answers, and forgotten when it is silent")
{
    forEachSeed(300, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
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

TEST_CASE("a new member that the list does not name yet is known to all once it has reached one")
{
    forEachSeed(300, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, sizeOf(seed));
        converge(cluster);
        cluster.addToList("e900");
        cluster.start("e900");
        REQUIRE(cluster.runUntil(
            [&] {
                return cluster.isSeenByAll("e900", PeerState::Alive) && cluster.isConverged();
            },
            Seconds(3)));
    });
}

TEST_CASE("a listed instance that never answered is dead")
{
    Cluster cluster(1, 3);
    converge(cluster);
    cluster.addToList("e900");
    cluster.publishList();
    cluster.schedule().runFor(Seconds(5));
    CHECK(cluster.isSeenByAll("e900", PeerState::Dead));
    CHECK(makeMembershipView(cluster.state("e100")).peers.contains(InstanceId("e900")));
}

TEST_CASE("an older list does not replace a newer one")
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

TEST_CASE("an instance that learns of a higher incarnation of itself goes above it")
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
