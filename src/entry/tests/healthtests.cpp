// What is believed of upstreams: leaving by its own word, back by its own word, avoided after failures.
#include "entry/upstreamhealthrules.h"
#include "entry/upstreamhealthtracker.h"
#include "framework/logging/log.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::entry;

TEST_CASE("an upstream that leaves is told to peers once, and again when it is back")
{
    logging::setUp("/dev/null", logging::Level::Error, "test");
    Blackboard blackboard;
    UpstreamHealthTracker health(blackboard);
    std::vector<bool> told;
    health.setLeavingHandler([&told](const UpstreamId &, bool isLeaving) {
        told.push_back(isLeaving);
    });
    const UpstreamId upstream("e1");
    const MonoTime now(Seconds(1));
    health.recordReportedLeaving(upstream, false);
    health.recordAttempt(upstream, AttemptEnd::Leaving, now);
    health.recordReportedLeaving(upstream, true);
    CHECK(blackboard.health.read()->upstreams.at(upstream).isLeaving);
    health.recordReportedLeaving(upstream, false);
    CHECK(told == std::vector<bool>{true, false});
    CHECK_FALSE(blackboard.health.read()->upstreams.at(upstream).isLeaving);
}

TEST_CASE("an upstream that the list no longer has is forgotten, but not while no list was read")
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

TEST_CASE("avoidance doubles with each failure in a row, is bounded, and ends with an answer")
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
