// Tests of engine and service upstream selection under typical loads.
#include "framework/global/random.h"
#include "placement/chooseengines.h"
#include "placement/chooseservice.h"
#include "placement/enginecost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

/** Published performance model of a large engine. */
catalogue::EngineModel makeEngine()
{
    catalogue::EngineModel engine;
    engine.slots = 16;
    engine.kvCapacityTokens = 405'000;
    engine.stepsPerPass = 34;
    engine.stepMs = 1.31;
    engine.decodeStepMsPerRequest = 0.000917;
    engine.decodeStepMsPerThousandTokens = 0.00213;
    engine.prefillTokensPerMs = 154;
    engine.attentionMsPerMillionPairs = 0.162;
    engine.chunkTokens = 2048;
    return engine;
}

struct Request
{
    WorkEstimate work;
    CallerTime time;
    ResponseTargets targets;
};

Request makeShortRequest()
{
    Request request;
    request.work = {5000, 1300, 1700};
    request.time.untilDeadline = Milliseconds(10'000);
    request.time.patience = Milliseconds(2000);
    request.targets = {Milliseconds(300), Milliseconds(250)};
    return request;
}

Request makeLongRequest(double tokens = 182'000)
{
    Request request;
    request.work = {tokens, 650, 2000};
    request.time.untilDeadline = Milliseconds(15'000);
    request.time.patience = Milliseconds(16'000);
    request.targets = {Milliseconds(4000), Milliseconds(1000)};
    return request;
}

/** A fleet that places each accepted request. */
struct Fleet
{
    explicit Fleet(int engines)
        : table(
            [this](const Placement &it) {
                return prefillMs(engine, it.promptTokens) / static_cast<double>(it.helpers.size() + 1);
            },
            [this](const Placement &) {
                return &engine;
            })
    {
        for (int i = 0; i < engines; ++i) {
            candidates.push_back({static_cast<UpstreamKey>(i + 1), engine.slots, 1, false, Milliseconds(0)});
        }
    }

    Decision place(const Request &request, MonoTime now, bool isDecoding = false)
    {
        const WorkEstimate &work = request.work;
        const Decision decision
            = chooseEngines(engine, work, request.time, request.targets, candidates, table.loads(now), parameters);
        if (decision.verdict == Verdict::Send) {
            Placement placement;
            placement.id = ++lastId;
            placement.primary = decision.primary;
            placement.helpers = decision.helpers;
            placement.promptTokens = work.promptTokens;
            placement.outputTokens = work.outputTokens;
            placement.gapTarget = request.targets.gap;
            placement.firstEventLimit = request.time.untilFirstEvent(work.decodeMs);
            placement.placedAt = now;
            placement.isDecoding = isDecoding;
            placement.reservedTokensPerHelper = decision.reservedTokensPerHelper;
            table.put("self", placement, now);
        }
        return decision;
    }

    catalogue::EngineModel engine = makeEngine();
    ChoiceParameters parameters;
    PlacementTable table;
    std::vector<Candidate> candidates;
    PlacementId lastId = 0;
};

} // namespace

TEST_CASE("prefill and decode times follow the published formula")
{
    const catalogue::EngineModel engine = makeEngine();
    CHECK(prefillMs(engine, 182'000) == Approx(182'000 / 154.0 + 0.162 * 182'000.0 * 182'000.0 / 2e6));
    CHECK(decodePassMs(engine, 0, 0) == Approx(34 * 1.31));
    CHECK(maxPrefillMsInPass(engine, 1000) == Approx(prefillMs(engine, 1000)));
    CHECK(maxPrefillMsInPass(engine, 300'000) < prefillMs(engine, 300'000));
}

TEST_CASE("short prompts fill a few engines and leave the others free")
{
    Fleet fleet(14);
    std::set<UpstreamKey> used;
    for (int i = 0; i < 36; ++i) {
        const Decision decision = fleet.place(makeShortRequest(), start + Milliseconds(40) * i, true);
        REQUIRE(decision.verdict == Verdict::Send);
        CHECK(decision.helpers.empty());
        used.insert(decision.primary);
    }
    CHECK(used.size() <= 5);
}

TEST_CASE("a long prompt avoids engines that decode short requests")
{
    Fleet fleet(14);
    std::set<UpstreamKey> shortEngines;
    for (int i = 0; i < 36; ++i) {
        shortEngines.insert(fleet.place(makeShortRequest(), start + Milliseconds(40) * i, true).primary);
    }
    const Decision decision = fleet.place(makeLongRequest(), start + Milliseconds(1500));
    REQUIRE(decision.verdict == Verdict::Send);
    CHECK_FALSE(shortEngines.contains(decision.primary));
    for (const UpstreamKey helper : decision.helpers) {
        CHECK_FALSE(shortEngines.contains(helper));
    }
}

TEST_CASE("short prompts avoid engines that prefill a long one")
{
    Fleet fleet(6);
    const Decision longDecision = fleet.place(makeLongRequest(), start);
    std::set<UpstreamKey> longEngines(longDecision.helpers.begin(), longDecision.helpers.end());
    longEngines.insert(longDecision.primary);
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(longEngines.contains(fleet.place(makeShortRequest(), start + Milliseconds(i), true).primary));
    }
}

TEST_CASE("a long prompt is split over enough engines to meet its target")
{
    Fleet fleet(14);
    const Decision decision = fleet.place(makeLongRequest(300'000), start);
    REQUIRE(decision.verdict == Verdict::Send);
    CHECK(decision.helpers.size() >= 1);
    CHECK(decision.predictedFirstEvent <= Milliseconds(4000));
    const std::set<UpstreamKey> members(decision.helpers.begin(), decision.helpers.end());
    CHECK(members.size() == decision.helpers.size());
    CHECK_FALSE(members.contains(decision.primary));
}

TEST_CASE("a prompt larger than the memory of one engine is split over several")
{
    Fleet fleet(14);
    const Decision decision = fleet.place(makeLongRequest(500'000), start);
    REQUIRE(decision.verdict == Verdict::Send);
    CHECK(decision.reservedTokensPerHelper > 0);
    CHECK(decision.reservedTokensPerHelper * static_cast<double>(decision.helpers.size() + 1) >= 500'000);
    CHECK(decision.reservedTokensPerHelper < 405'000);
}

TEST_CASE("a request is refused if the memory is already in use")
{
    Fleet fleet(1);
    CHECK(fleet.place(makeLongRequest(250'000), start, true).verdict == Verdict::Send);
    CHECK(fleet.place(makeLongRequest(250'000), start, true).verdict == Verdict::TooLarge);
}

TEST_CASE("at a peak of long prompts most are accepted, and all that are accepted are predicted in time")
{
    Fleet fleet(14);
    Random random(3);
    int accepted = 0;
    int refused = 0;
    MonoTime now = start;
    std::vector<std::pair<MonoTime, PlacementId>> prefillEnds;
    for (int i = 0; i < 60; ++i) {
        now += Milliseconds(static_cast<std::int64_t>(random.exponential(350)));
        for (auto it = prefillEnds.begin(); it != prefillEnds.end();) {
            if (it->first <= now) {
                fleet.table.remove(it->second, it->first);
                it = prefillEnds.erase(it);
            } else {
                ++it;
            }
        }
        const Decision decision = fleet.place(makeLongRequest(60'000 + 240'000 * random.unit()), now);
        if (decision.verdict == Verdict::Send) {
            ++accepted;
            CHECK(decision.predictedFirstEvent < Milliseconds(8000));
            prefillEnds.emplace_back(now + decision.predictedFirstEvent, fleet.lastId);
        } else {
            ++refused;
            // A time is named exactly if the caller, who has 15 s, has the 2 s of its output left then.
            CHECK(decision.retryAfter.has_value()
                == (decision.predictedFirstEvent + Milliseconds(2000) < Milliseconds(15'000)));
        }
    }
    CHECK(accepted > refused);
}

TEST_CASE("a full fleet takes requests as long as their callers wait, and refuses the others")
{
    // Guards against refusals by the latency target of 300 ms, and against the preference for callers who come back.
    Fleet fleet(2);
    int accepted = 0;
    Decision lastDecision;
    for (int i = 0; i < 100; ++i) {
        lastDecision = fleet.place(makeShortRequest(), start + Milliseconds(i), true);
        if (lastDecision.verdict == Verdict::Send) {
            ++accepted;
            CHECK(lastDecision.predictedFirstEvent < Milliseconds(2000));
        }
    }
    // A response occupies one of the 32 slots for about 2 s.
    CHECK(accepted >= 32 + 16);
    CHECK(lastDecision.verdict == Verdict::TooLate);
    CHECK(lastDecision.predictedFirstEvent >= Milliseconds(2000));
}

TEST_CASE("whether a request is served does not depend on the targets of its operator")
{
    // Twins of each request, which differ only in the targets, meet the same fleet.
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    Random random(seed);
    Fleet fleet(4);
    MonoTime now = start;
    int refused = 0;
    int sent = 0;
    for (int i = 0; i < 150; ++i) {
        now += Milliseconds(static_cast<std::int64_t>(random.exponential(60)));
        Request request = random.chance(0.8) ? makeShortRequest() : makeLongRequest(30'000 + 200'000 * random.unit());
        request.time.untilDeadline = Milliseconds(1000 + static_cast<std::int64_t>(random.below(14'000)));
        Request twin = request;
        twin.targets = {Milliseconds(1 + static_cast<std::int64_t>(random.below(20'000))),
            Milliseconds(100 + static_cast<std::int64_t>(random.below(2000)))};
        const auto loads = fleet.table.loads(now);
        const Decision other = chooseEngines(
            fleet.engine, twin.work, twin.time, twin.targets, fleet.candidates, loads, fleet.parameters);
        const Decision decision = fleet.place(request, now);
        CHECK(decision.verdict == other.verdict);
        ++(decision.verdict == Verdict::Send ? sent : refused);
    }
    CHECK(sent > 0);
    CHECK(refused > 0);
}

TEST_CASE("a long prompt is refused rather than read ahead of prompts whose callers would leave")
{
    // Each engine has a prompt whose caller leaves after 2.4 s. A prompt of this size fits on two engines only, of
    // which one reads its part before its own prompt.
    Fleet fleet(2);
    for (const UpstreamKey engine : {1, 2}) {
        Placement waiting;
        waiting.id = 900 + engine;
        waiting.primary = engine;
        waiting.promptTokens = 20'000;
        waiting.outputTokens = 1000;
        waiting.gapTarget = Milliseconds(250);
        waiting.firstEventLimit = Milliseconds(2400);
        waiting.placedAt = start;
        fleet.table.put("peer", waiting, start);
    }
    Request request = makeLongRequest(420'000);
    request.time.untilDeadline = Milliseconds(60'000);
    request.time.patience = Milliseconds(30'000);
    CHECK(fleet.place(request, start).verdict == Verdict::Crowded);
    // A caller who would leave anyway is not lost by it.
    CHECK(fleet.place(request, start + Milliseconds(2500)).verdict == Verdict::Send);
}

TEST_CASE("requests are refused without enough time left or without an upstream")
{
    Fleet fleet(2);
    Request request = makeLongRequest();
    request.time.untilDeadline = Milliseconds(2100);
    CHECK(fleet.place(request, start).verdict == Verdict::TooLate);
    request = makeLongRequest();
    request.time.untilAttemptEnds = Milliseconds(2100);
    CHECK(fleet.place(request, start).verdict == Verdict::TooLate);
    request = makeLongRequest();
    request.time.waited = Milliseconds(15'900);
    CHECK(fleet.place(request, start).verdict == Verdict::TooLate);
    Fleet emptyFleet(0);
    CHECK(emptyFleet.place(makeShortRequest(), start).verdict == Verdict::NoUpstream);
}

TEST_CASE("an engine on trial takes one request at a time")
{
    Fleet fleet(1);
    fleet.candidates.front().isOnTrial = true;
    CHECK(fleet.place(makeShortRequest(), start, true).verdict == Verdict::Send);
    CHECK(fleet.place(makeShortRequest(), start, true).verdict == Verdict::NoUpstream);
}

TEST_CASE("plain requests go to the upstreams with the shortest predicted time")
{
    PlacementTable table([](const Placement &) {
        return 0.0;
    });
    const std::vector<Candidate> candidates{
        {1, 6, 1, false, Milliseconds(0)}, {2, 6, 1, false, Milliseconds(0)}, {3, 6, 5, false, Milliseconds(0)}};
    std::set<UpstreamKey> used;
    for (PlacementId id = 1; id <= 12; ++id) {
        const Decision decision
            = chooseServiceUpstream({30, CallerTime{Milliseconds(1000)}}, candidates, table.loads(start));
        REQUIRE(decision.verdict == Verdict::Send);
        used.insert(decision.primary);
        Placement placement;
        placement.id = id;
        placement.primary = decision.primary;
        placement.isDecoding = true;
        table.put("self", placement, start);
    }
    CHECK(used == std::set<UpstreamKey>{1, 2});
    CHECK(chooseServiceUpstream({30, CallerTime{Milliseconds(10)}}, candidates, table.loads(start)).verdict
        == Verdict::TooLate);
    CHECK(chooseServiceUpstream({30, CallerTime{Milliseconds(1000)}}, {}, {}).verdict == Verdict::NoUpstream);
}

TEST_CASE("a resumed response has only the events after the last received one left")
{
    const catalogue::EngineModel engine = makeEngine();
    CHECK(remainingOutputTokens(engine, 3400, 0) == 3400);
    CHECK(remainingOutputTokens(engine, 3400, 60) == 3400 - 60 * 34);
    // The estimate may be too low; at least one event is left.
    CHECK(remainingOutputTokens(engine, 3400, 500) == 34);
    CHECK(remainingOutputTokens(engine, 20, 0) == 20);
}

TEST_CASE("a caller whose patience the backlog exceeds is told to come back when it can be served")
{
    Fleet fleet(2);
    Decision refused;
    Request request = makeLongRequest(100'000);
    request.time.untilDeadline = Milliseconds(60'000);
    request.time.patience = Milliseconds(4000);
    int placedCount = 0;
    std::map<PlacementId, MonoTime> firstEventAt;
    do {
        refused = fleet.place(request, start);
        firstEventAt.try_emplace(fleet.lastId, start + refused.predictedFirstEvent);
        ++placedCount;
    } while (refused.verdict == Verdict::Send && placedCount < 100);
    REQUIRE(refused.verdict == Verdict::TooLate);
    REQUIRE(refused.retryAfter);
    CHECK(*refused.retryAfter > Milliseconds(0));
    // A part of what was ahead has been worked off meanwhile.
    const MonoTime later = start + *refused.retryAfter;
    for (const auto &[id, at] : firstEventAt) {
        if (at <= later) {
            fleet.table.setDecoding(id, at);
        }
    }
    CHECK(fleet.place(request, later).verdict == Verdict::Send);
}

TEST_CASE("a caller whose deadline passes before it can be served is told no time")
{
    Fleet fleet(2);
    Request request = makeLongRequest(60'000);
    request.time.untilDeadline = Milliseconds(6000);
    Decision refused;
    int placedCount = 0;
    do {
        refused = fleet.place(request, start);
        ++placedCount;
    } while (refused.verdict == Verdict::Send && placedCount < 100);
    REQUIRE(refused.verdict == Verdict::TooLate);
    CHECK_FALSE(refused.retryAfter);
}

TEST_CASE("a caller that an instance cannot serve before it stops may come back to another one at once")
{
    Fleet fleet(2);
    Request request = makeShortRequest();
    request.time.untilAttemptEnds = Milliseconds(1000);
    const Decision refused = fleet.place(request, start);
    CHECK(refused.verdict == Verdict::TooLate);
    CHECK(refused.retryAfter == Milliseconds(0));
}

TEST_CASE("a caller that has waited too long for its first event may come back at once if a new attempt would serve it")
{
    Fleet fleet(2);
    Request request = makeShortRequest();
    request.time.waited = Milliseconds(1990);
    const Decision refused = fleet.place(request, start);
    CHECK(refused.verdict == Verdict::TooLate);
    CHECK(refused.retryAfter == Milliseconds(0));
}

TEST_CASE("a prompt that finds no memory is told when the requests that hold it end, and nothing if that is too late")
{
    Fleet fleet(1);
    Request holder = makeLongRequest(250'000);
    REQUIRE(fleet.place(holder, start, true).verdict == Verdict::Send);
    // 650 tokens of output take about a second.
    Decision refused = fleet.place(makeLongRequest(250'000), start);
    REQUIRE(refused.verdict == Verdict::TooLarge);
    REQUIRE(refused.retryAfter);
    CHECK(*refused.retryAfter > Milliseconds(500));
    CHECK(*refused.retryAfter < Milliseconds(2000));
    Request hurried = makeLongRequest(250'000);
    hurried.time.untilDeadline = Milliseconds(6000);
    CHECK_FALSE(fleet.place(hurried, start).retryAfter);
}

TEST_CASE("a long prompt does not pause the streams of several callers to be on time itself")
{
    // Read by one engine it is a little late; the other engine writes two streams, which would pause beyond their
    // target.
    Fleet fleet(2);
    for (PlacementId id = 900; id < 902; ++id) {
        Placement stream;
        stream.id = id;
        stream.primary = 1;
        stream.promptTokens = 5000;
        stream.outputTokens = 1300;
        stream.gapTarget = Milliseconds(250);
        stream.placedAt = start;
        stream.isDecoding = true;
        fleet.table.put("peer", stream, start);
    }
    Request request = makeLongRequest(100'000);
    request.targets.firstEvent = Milliseconds(1500);
    const Decision decision = fleet.place(request, start);
    REQUIRE(decision.verdict == Verdict::Send);
    CHECK(decision.primary == 2);
    CHECK(decision.helpers.empty());
}
