// Random combinations of crashes, restarts, pauses, partitions, message loss, duplication and delay. The invariants are
// checked throughout, and convergence after the faults have ended.
#include "membership/testing/cluster.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::testing::forEachSeed;
using magnolia::testing::LinkFaults;
using membership::testing::Cluster;

namespace
{

/** Values that must not decrease, and flags that must not be cleared, in one run of an observer's process. */
struct Watermark
{
    Incarnation observerIncarnation;
    std::map<InstanceId, Incarnation> incarnations;
    std::map<InstanceId, Incarnation> leavingIncarnations;
    std::uint64_t sharedVersion = 0;
};

class InvariantChecker
{
public:
    bool hasNoViolation(Cluster &cluster)
    {
        for (const std::string &name : cluster.runningNodes()) {
            if (!hasNoViolationAt(cluster.state(name), m_watermarks[name])) {
                return false;
            }
        }
        return true;
    }

private:
    static bool hasNoViolationAt(const MembershipState &state, Watermark &mark)
    {
        if (mark.observerIncarnation != state.selfRecord.incarnation) {
            mark = Watermark{};
            mark.observerIncarnation = state.selfRecord.incarnation;
        }
        for (const auto &[id, member] : state.members) {
            const MemberRecord &record = member.record;
            if (record.incarnation < mark.incarnations[id]) {
                return false;
            }
            mark.incarnations[id] = record.incarnation;
            if (record.isLeaving) {
                mark.leavingIncarnations[id] = record.incarnation;
            } else if (record.incarnation != Incarnation() && mark.leavingIncarnations[id] == record.incarnation) {
                return false;
            }
        }
        const auto it = state.sharedValues.find("configuration");
        const std::uint64_t version = it == state.sharedValues.end() ? 0 : it->second.version;
        const bool isKept = version >= mark.sharedVersion;
        mark.sharedVersion = version;
        return isKept;
    }

    std::map<std::string, Watermark> m_watermarks;
};

void partitionRandomly(Cluster &cluster, Random &random)
{
    std::set<std::string> oneSide;
    for (const std::string &name : cluster.runningNodes()) {
        if (random.chance(0.5)) {
            oneSide.insert(name);
        }
    }
    cluster.network().partition(std::move(oneSide));
}

void restart(Cluster &cluster, const std::string &name, Random &random)
{
    cluster.crash(name);
    cluster.schedule().after(Milliseconds(1 + random.below(6000)), [&cluster, name] {
        cluster.start(name);
    });
}

void injectFault(Cluster &cluster, std::uint64_t &version)
{
    Random &random = cluster.schedule().random();
    const auto nodes = cluster.runningNodes();
    if (nodes.empty()) {
        return;
    }
    const std::string name = nodes[random.below(nodes.size())];
    switch (random.below(8)) {
    case 0:
        restart(cluster, name, random);
        break;
    case 1:
        cluster.pause(name, Milliseconds(random.below(5000)));
        break;
    case 2:
        partitionRandomly(cluster, random);
        break;
    case 3:
        cluster.network().heal();
        break;
    case 4:
        cluster.network().setFaults(
            {0.3 * random.unit(), 0.3 * random.unit(), Milliseconds(1), Milliseconds(1 + random.below(2000))});
        break;
    case 5:
        announceLeave(cluster.state(name));
        break;
    case 6:
        cluster.publishList();
        break;
    default:
        REQUIRE(shareValue(cluster.state(name), "configuration", ++version, "hash"));
        break;
    }
}

/** Whether all running nodes see each other as alive in the current incarnation and hold the same shared values. */
bool isFullyConverged(Cluster &cluster)
{
    const auto nodes = cluster.runningNodes();
    for (const std::string &observer : nodes) {
        const MembershipState &state = cluster.state(observer);
        for (const std::string &subject : nodes) {
            const auto it = state.members.find(InstanceId(subject));
            if (subject == observer) {
                continue;
            }
            const MemberRecord &own = cluster.state(subject).selfRecord;
            if (it == state.members.end() || it->second.record.status != MemberStatus::Alive
                || it->second.record.incarnation != own.incarnation || it->second.record.isLeaving != own.isLeaving) {
                return false;
            }
        }
        if (state.sharedValues != cluster.state(nodes.front()).sharedValues) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("random faults never revert incarnations, leaving flags or versions, and all nodes converge afterwards")
{
    forEachSeed(2000, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Cluster cluster(seed, 3 + seed % 4);
        InvariantChecker checker;
        std::uint64_t version = 0;
        cluster.startAll();
        cluster.schedule().runFor(Milliseconds(1500));
        for (int i = 0; i < 15; ++i) {
            injectFault(cluster, version);
            for (int step = 0; step < 10; ++step) {
                cluster.schedule().runFor(Milliseconds(cluster.schedule().random().below(200)));
                REQUIRE(checker.hasNoViolation(cluster));
            }
        }
        cluster.network().setFaults({});
        cluster.network().heal();
        cluster.schedule().runFor(Seconds(9));
        REQUIRE(cluster.runUntil(
            [&] {
                return isFullyConverged(cluster);
            },
            Seconds(30)));
        REQUIRE(checker.hasNoViolation(cluster));
    });
}
