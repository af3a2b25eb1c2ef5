// The soak's own judgement: each broken promise is seen, and what keeps it is not taken for broken.
#include "ledger.h"
#include "plan.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::soak;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

Record &served(Ledger &ledger, const std::string &id, WorkKind kind, const std::string &body)
{
    Record &it = ledger.record(id);
    it.kind = kind;
    it.process = "g1#1";
    it.sentAt = start;
    it.endedAt = start + Milliseconds(100);
    it.status = 200;
    it.isComplete = true;
    it.echoedId = id;
    it.signature = "s." + id;
    it.body = body;
    it.ranOn = {"i-1"};
    it.arrivals = 1;
    return it;
}

std::string promises(Ledger &ledger)
{
    ledger.judge();
    std::string all;
    for (const Violation &it : ledger.violations()) {
        all += (all.empty() ? "" : ",") + it.promise;
    }
    return all;
}

const std::string twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: a\n\n";

} // namespace

TEST_CASE("whole answers to the right caller break nothing")
{
    Ledger ledger(true);
    ledger.setPlannedOnly(start, start + Seconds(10));
    served(ledger, "a", WorkKind::Stream, twoEvents).eventsExpected = 2;
    served(ledger, "b", WorkKind::AtMostOnce, "done b by app");
    CHECK(promises(ledger).empty());
}

TEST_CASE("answers of others, gaps, repetitions and missing ends are seen")
{
    Ledger ledger(false);
    served(ledger, "a", WorkKind::Stream, twoEvents).eventsExpected = 3;
    CHECK(promises(ledger) == "whole answer");
    Ledger gap(false);
    served(gap, "a", WorkKind::Stream, "id: 1\ndata: a\n\nid: 3\ndata: a\n\n").eventsExpected = 3;
    CHECK(promises(gap) == "stream order");
    Ledger twice(false);
    served(twice, "a", WorkKind::Stream, twoEvents + "id: 2\ndata: a\n\n").eventsExpected = 2;
    CHECK(promises(twice) == "stream order");
    Ledger foreign(false);
    served(foreign, "b", WorkKind::Idempotent, "done c by app");
    CHECK(promises(foreign) == "whole answer");
    Ledger echoed(false);
    served(echoed, "b", WorkKind::Idempotent, "done b by app").echoedId = "c";
    CHECK(promises(echoed) == "right caller");
}

TEST_CASE("work that ran twice, or ran though it was refused, is seen")
{
    Ledger twice(false);
    served(twice, "a", WorkKind::AtMostOnce, "done a by app").ranOn = {"i-1", "i-2"};
    CHECK(promises(twice) == "at most once");
    Ledger refused(false);
    Record &it = served(refused, "a", WorkKind::Idempotent, "");
    it.status = 503;
    it.hasRetryAfter = true;
    CHECK(promises(refused) == "truthful not run");
    Ledger attempts(false);
    served(attempts, "a", WorkKind::Stream, "").ranOn = {"i-1", "i-2", "i-3"};
    CHECK(promises(attempts) == "attempts");
}

TEST_CASE("a cut counts while only planned work is under way, and not where an upstream cut it")
{
    Ledger ledger(false);
    ledger.setPlannedOnly(start, start + Seconds(10));
    Record &it = served(ledger, "a", WorkKind::Idempotent, "");
    it.status = 0;
    it.isComplete = false;
    CHECK(promises(ledger) == "no cut by a planned stop");
    Ledger byUpstream(false);
    byUpstream.setPlannedOnly(start, start + Seconds(10));
    Record &cut = served(byUpstream, "a", WorkKind::Idempotent, "");
    cut.status = 0;
    cut.isComplete = false;
    cut.metUpstreamFault = true;
    CHECK(promises(byUpstream).empty());
}

TEST_CASE("a configuration that goes back is seen, and requests that overlap are not")
{
    Ledger ledger(false);
    ledger.noteVersion(1, "v1", start);
    ledger.noteVersion(2, "v2", start);
    served(ledger, "a", WorkKind::Versioned, "done a by v2");
    // Asked for while the other was under way.
    served(ledger, "b", WorkKind::Versioned, "done b by v1").endedAt = start + Milliseconds(150);
    Ledger back = ledger;
    CHECK(promises(ledger).empty());
    Record &it = served(back, "c", WorkKind::Versioned, "done c by v1");
    it.sentAt = start + Milliseconds(200);
    it.endedAt = start + Milliseconds(300);
    CHECK(promises(back) == "configuration never back");
}

TEST_CASE("with bounds in time a late drain and a late configuration are seen")
{
    Ledger ledger(true);
    ledger.onLeaving("i-1", start);
    ledger.checkDrain("a", "i-1", start + Milliseconds(2500));
    CHECK(ledger.violations().empty());
    ledger.checkDrain("a", "i-1", start + Milliseconds(3500));
    CHECK(promises(ledger) == "drain");
    Ledger outOfTouch(true);
    outOfTouch.onLeaving("i-1", start);
    outOfTouch.noteTrouble(start + Milliseconds(500));
    outOfTouch.checkDrain("a", "i-1", start + Milliseconds(3500));
    CHECK(promises(outOfTouch).empty());
    Ledger late(true);
    late.setPlannedOnly(start, start + Seconds(60));
    late.noteVersion(1, "v1", start);
    late.noteVersion(2, "v2", start + Seconds(1));
    Record &it = served(late, "c", WorkKind::Versioned, "done c by v1");
    it.sentAt = start + Seconds(5);
    it.endedAt = it.sentAt + Milliseconds(20);
    CHECK(promises(late) == "configuration in force");
}

TEST_CASE("a plan repeats for its seed, and begins with planned work only")
{
    PlanParameters parameters;
    parameters.seed = 3;
    const auto plan = makePlan(parameters);
    const auto again = makePlan(parameters);
    REQUIRE(plan.size() == again.size());
    REQUIRE(plan.size() > 10);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CHECK(plan[i].action == again[i].action);
        CHECK((plan[i].at >= parameters.plannedTime || plan[i].action <= Action::ReplaceUpstream));
    }
}
