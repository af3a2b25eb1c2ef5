// Tests of upstream health: leaving and returning upstreams, and avoidance after failures.
#include "entry/upstreamhealthrules.h"
#include "entry/upstreamhealthtracker.h"
#include "framework/logging/log.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::entry;

TEST_CASE("the leaving handler is called once when an upstream leaves and once when it is back")
{
    logging::setUp("/dev/null", logging::Level::Error, "test");
    Blackboard blackboard;
    UpstreamHealthTracker health(blackboard);
    std::vector<bool> reportedStates;
    health.setLeavingHandler([&reportedStates](const UpstreamId &, bool isLeaving) {
        reportedStates.push_back(isLeaving);
    });
    const UpstreamId upstream("e1");
    const MonoTime now(Seconds(1));
    health.recordReportedLeaving(upstream, false);
    health.recordAttempt(upstream, AttemptEnd::Leaving, now);
    health.recordReportedLeaving(upstream, true);
    CHECK(blackboard.health.read()->upstreams.at(upstream).isLeaving);
    health.recordReportedLeaving(upstream, false);
    CHECK(reportedStates == std::vector<bool>{true, false});
    CHECK_FALSE(blackboard.health.read()->upstreams.at(upstream).isLeaving);
}

TEST_CASE("an upstream missing from the list is removed, but not before a list has been read")
{
    Blackboard blackboard;
    UpstreamHealthTracker health(blackboard);
    health.recordAttempt(UpstreamId("e1"), AttemptEnd::Leaving, MonoTime(Seconds(1)));
    health.removeUnlisted();
    CHECK(blackboard.health.read()->upstreams.size() == 1);
    PublishedList list;
    list.revision = 1;
    blackboard.publishedList.write(list);
    health.removeUnlisted();
    CHECK(blackboard.health.read()->upstreams.empty());
}

TEST_CASE("avoidance grows with consecutive failures up to its maximum and ends with a complete answer")
{
    UpstreamHealth health;
    MonoTime now(Seconds(1));
    Milliseconds last{0};
    for (int i = 0; i < 12; ++i) {
        health = healthAfter(health, AttemptEnd::ConnectFailed, now);
        const Milliseconds avoided = toMilliseconds(health.avoidUntil - now);
        CHECK(avoided >= last);
        CHECK(avoided <= maxAvoidance);
        last = avoided;
    }
    CHECK(last == maxAvoidance);
    CHECK(healthAfter(health, AttemptEnd::Whole, now) == UpstreamHealth());
}
