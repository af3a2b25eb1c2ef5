// Checks that the ledger reports each violated guarantee, and reports nothing for correct records.
#include "ledger.h"
#include "plan.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::soak;

namespace
{

const MonoTime startTime{std::chrono::seconds(100)};

RequestRecord &addServedRequest(Ledger &ledger, const std::string &id, RequestKind kind, const std::string &body)
{
    RequestRecord &it = ledger.record(id);
    it.kind = kind;
    it.process = "g1#1";
    it.sentAt = startTime;
    it.endedAt = startTime + Milliseconds(100);
    it.status = 200;
    it.isComplete = true;
    it.echoedRequestId = id;
    it.signature = "s." + id;
    it.body = body;
    it.executedOn = {"i-1"};
    it.arrivalCount = 1;
    return it;
}

std::string brokenGuarantees(Ledger &ledger)
{
    ledger.checkGuarantees();
    std::string all;
    for (const Violation &it : ledger.violations()) {
        all += (all.empty() ? "" : ",") + it.guarantee;
    }
    return all;
}

const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: a\n\n";

} // namespace

TEST_CASE("complete responses to the right caller are no violation")
{
    Ledger ledger(true);
    ledger.setPlannedPhase(startTime, startTime + Seconds(10));
    addServedRequest(ledger, "a", RequestKind::Stream, twoEvents).expectedEvents = 2;
    addServedRequest(ledger, "b", RequestKind::AtMostOnce, "done b by app");
    CHECK(brokenGuarantees(ledger).empty());
}

TEST_CASE("responses to other requests, gaps, repetitions and missing events are violations")
{
    Ledger ledger(false);
    addServedRequest(ledger, "a", RequestKind::Stream, twoEvents).expectedEvents = 3;
    CHECK(brokenGuarantees(ledger) == "whole answer");
    Ledger gap(false);
    addServedRequest(gap, "a", RequestKind::Stream, "id: 1\ndata: a\n\nid: 3\ndata: a\n\n").expectedEvents = 3;
    CHECK(brokenGuarantees(gap) == "stream order");
    Ledger repeated(false);
    addServedRequest(repeated, "a", RequestKind::Stream, twoEvents + "id: 2\ndata: a\n\n").expectedEvents = 2;
    CHECK(brokenGuarantees(repeated) == "stream order");
    Ledger wrongBody(false);
    addServedRequest(wrongBody, "b", RequestKind::Idempotent, "done c by app");
    CHECK(brokenGuarantees(wrongBody) == "whole answer");
    Ledger wrongEchoedId(false);
    addServedRequest(wrongEchoedId, "b", RequestKind::Idempotent, "done b by app").echoedRequestId = "c";
    CHECK(brokenGuarantees(wrongEchoedId) == "right caller");
}

TEST_CASE("repeated execution and execution of a refused request are violations")
{
    Ledger repeated(false);
    addServedRequest(repeated, "a", RequestKind::AtMostOnce, "done a by app").executedOn = {"i-1", "i-2"};
    CHECK(brokenGuarantees(repeated) == "at most once");
    Ledger refused(false);
    RequestRecord &it = addServedRequest(refused, "a", RequestKind::Idempotent, "");
    it.status = 503;
    it.hasRetryAfter = true;
    CHECK(brokenGuarantees(refused) == "truthful not run");
    Ledger attempts(false);
    addServedRequest(attempts, "a", RequestKind::Stream, "").executedOn = {"i-1", "i-2", "i-3"};
    CHECK(brokenGuarantees(attempts) == "attempts");
}

TEST_CASE("an interruption in the planned phase is a violation unless an upstream caused it")
{
    Ledger ledger(false);
    ledger.setPlannedPhase(startTime, startTime + Seconds(10));
    RequestRecord &it = addServedRequest(ledger, "a", RequestKind::Idempotent, "");
    it.status = 0;
    it.isComplete = false;
    CHECK(brokenGuarantees(ledger) == "no cut by a planned stop");
    Ledger byUpstream(false);
    byUpstream.setPlannedPhase(startTime, startTime + Seconds(10));
    RequestRecord &cut = addServedRequest(byUpstream, "a", RequestKind::Idempotent, "");
    cut.status = 0;
    cut.isComplete = false;
    cut.hasUpstreamFault = true;
    CHECK(brokenGuarantees(byUpstream).empty());
}

TEST_CASE("a return to an older configuration is a violation, overlapping requests are not")
{
    Ledger ledger(false);
    ledger.recordConfigurationVersion(1, "v1", startTime);
    ledger.recordConfigurationVersion(2, "v2", startTime);
    addServedRequest(ledger, "a", RequestKind::Versioned, "done a by v2");
    // Sent before the response to the other request ended.
    addServedRequest(ledger, "b", RequestKind::Versioned, "done b by v1").endedAt = startTime + Milliseconds(150);
    Ledger regressed = ledger;
    CHECK(brokenGuarantees(ledger).empty());
    RequestRecord &it = addServedRequest(regressed, "c", RequestKind::Versioned, "done c by v1");
    it.sentAt = startTime + Milliseconds(200);
    it.endedAt = startTime + Milliseconds(300);
    CHECK(brokenGuarantees(regressed) == "configuration never back");
}

TEST_CASE("with timed checks, a late drain and a late configuration are violations")
{
    Ledger ledger(true);
    ledger.recordLeaving("i-1", startTime);
    ledger.checkDrain("a", "i-1", startTime + Milliseconds(2500));
    CHECK(ledger.violations().empty());
    ledger.checkDrain("a", "i-1", startTime + Milliseconds(3500));
    CHECK(brokenGuarantees(ledger) == "drain");
    Ledger disrupted(true);
    disrupted.recordLeaving("i-1", startTime);
    disrupted.recordDisruption(startTime + Milliseconds(500));
    disrupted.checkDrain("a", "i-1", startTime + Milliseconds(3500));
    CHECK(brokenGuarantees(disrupted).empty());
    Ledger outdated(true);
    outdated.setPlannedPhase(startTime, startTime + Seconds(60));
    outdated.recordConfigurationVersion(1, "v1", startTime);
    outdated.recordConfigurationVersion(2, "v2", startTime + Seconds(1));
    RequestRecord &it = addServedRequest(outdated, "c", RequestKind::Versioned, "done c by v1");
    it.sentAt = startTime + Seconds(5);
    it.endedAt = it.sentAt + Milliseconds(20);
    CHECK(brokenGuarantees(outdated) == "configuration in force");
}

TEST_CASE("equal seeds give equal plans, which begin with planned actions only")
{
    PlanParameters parameters;
    parameters.seed = 3;
    const auto plan = makePlan(parameters);
    const auto again = makePlan(parameters);
    REQUIRE(plan.size() == again.size());
    REQUIRE(plan.size() > 10);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK(plan[i].action == again[i].action);
        CHECK((plan[i].at >= parameters.plannedPhaseDuration || plan[i].action <= Action::ReplaceUpstream));
    }
}

TEST_CASE("a known crash trigger may reach upstreams three more times")
{
    const int arrivals = GENERATE(3, 4);
    Ledger ledger(true);
    ledger.addCrashTrigger("part", 2);
    ledger.recordCrash("part", startTime);
    CHECK_FALSE(ledger.crashTriggerKnownAt("part"));
    ledger.recordCrash("part", startTime);
    CHECK(ledger.crashTriggerKnownAt("part") == startTime + Seconds(3));
    for (int i = 0; i < 10; ++i) {
        ledger.checkCrashTrigger("part", "early", startTime + Milliseconds(2900));
    }
    for (int i = 0; i < arrivals; ++i) {
        ledger.checkCrashTrigger("part", "late", startTime + Milliseconds(3100));
    }
    CHECK(brokenGuarantees(ledger) == (arrivals == 3 ? "" : "crash trigger"));
}

TEST_CASE("gateways that are cut from all upstreams and refuse their callers are reported")
{
    Ledger ledger(true);
    ledger.recordCut("g1#1", startTime, startTime + Milliseconds(6000));
    const bool isServed = GENERATE(true, false);
    for (int i = 0; i < 40; ++i) {
        const std::string number = std::to_string(i);
        RequestRecord &cut
            = addServedRequest(ledger, "a" + number, RequestKind::Idempotent, "done a" + number + " by app");
        cut.sentAt = startTime + Milliseconds(4000);
        if (!isServed) {
            cut.status = 503;
            cut.hasRetryAfter = true;
            cut.executedOn.clear();
        }
        RequestRecord &other
            = addServedRequest(ledger, "b" + number, RequestKind::Idempotent, "done b" + number + " by app");
        other.process = "g2#1";
        other.sentAt = startTime + Milliseconds(4000);
    }
    CHECK(brokenGuarantees(ledger) == (isServed ? "" : "served during a cut"));
}

TEST_CASE("gateways that stop are no measure for those that are cut from all upstreams")
{
    Ledger ledger(true);
    ledger.recordCut("g1#1", startTime, startTime + Milliseconds(6000));
    const bool isStopping = GENERATE(true, false);
    if (isStopping) {
        ledger.recordOutOfTouch("g2#1", startTime, startTime + Milliseconds(6000));
    }
    for (int i = 0; i < 40; ++i) {
        const std::string number = std::to_string(i);
        RequestRecord &cut = addServedRequest(ledger, "a" + number, RequestKind::Idempotent, "");
        cut.sentAt = startTime + Milliseconds(4000);
        cut.status = 503;
        cut.hasRetryAfter = true;
        cut.executedOn.clear();
        RequestRecord &other
            = addServedRequest(ledger, "b" + number, RequestKind::Idempotent, "done b" + number + " by app");
        other.process = "g2#1";
        other.sentAt = startTime + Milliseconds(4000);
    }
    CHECK(brokenGuarantees(ledger) == (isStopping ? "" : "served during a cut"));
}

TEST_CASE("requests at an upstream count for the gateway that sent them")
{
    Ledger ledger(true);
    ledger.recordTurnedAway("i-1", "g2#1", startTime, Milliseconds(2000));
    for (int i = 0; i < 5; ++i) {
        ledger.checkTurnedAway("a" + std::to_string(i), "i-1", "g1#1", startTime + Milliseconds(1000));
    }
    CHECK(ledger.violations().empty());
    for (int i = 0; i < 3; ++i) {
        ledger.checkTurnedAway("b" + std::to_string(i), "i-1", "g2#1", startTime + Milliseconds(1000));
    }
    CHECK(ledger.violations().size() == 1);
}

TEST_CASE("with timed checks, a request to a data centre that was evacuated more than five seconds ago is a violation")
{
    Ledger ledger(true);
    ledger.recordEvacuation("z1", startTime);
    ledger.checkEvacuation("a", "z1", startTime + Milliseconds(4900));
    ledger.checkEvacuation("a", "z2", startTime + Milliseconds(9000));
    CHECK(ledger.violations().empty());
    ledger.checkEvacuation("a", "z1", startTime + Milliseconds(5100));
    CHECK(brokenGuarantees(ledger) == "evacuation");
    Ledger ended(true);
    ended.recordEvacuation("z1", startTime);
    ended.clearEvacuation("z1");
    ended.checkEvacuation("a", "z1", startTime + Milliseconds(9000));
    CHECK(ended.violations().empty());
    // Instances without contact to the store are bound from its return on.
    Ledger disrupted(true);
    disrupted.recordEvacuation("z1", startTime);
    disrupted.recordDisruption(startTime + Milliseconds(2000));
    disrupted.checkEvacuation("a", "z1", startTime + Milliseconds(6000));
    CHECK(disrupted.violations().empty());
    disrupted.checkEvacuation("a", "z1", startTime + Milliseconds(20'000));
    CHECK(brokenGuarantees(disrupted) == "evacuation");
    Ledger untimed(false);
    untimed.recordEvacuation("z1", startTime);
    untimed.checkEvacuation("a", "z1", startTime + Milliseconds(9000));
    CHECK(untimed.violations().empty());
}
