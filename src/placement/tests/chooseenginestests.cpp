// The choice of engines under the loads that it answers.
#include "framework/global/random.h"
#include "placement/chooseengines.h"
#include "placement/chooseservice.h"
#include "placement/enginecost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

/** The published figures of a large engine. */
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

WorkEstimate makeShort()
{
    WorkEstimate work;
    work.promptTokens = 5000;
    work.outputTokens = 1300;
    work.targetLeft = Milliseconds(300);
    work.timeLeft = Milliseconds(2000);
    work.gapTarget = Milliseconds(250);
    return work;
}

WorkEstimate makeLong(double tokens = 182'000)
{
    WorkEstimate work;
    work.promptTokens = tokens;
    work.outputTokens = 650;
    work.targetLeft = Milliseconds(4000);
    work.timeLeft = Milliseconds(13'000);
    work.gapTarget = Milliseconds(1000);
    return work;
}

/** A fleet on which decisions are placed as they are made. */
struct Fleet
{
    explicit Fleet(int engines)
        : board([this](const Placement &it) {
            return prefillMs(engine, it.promptTokens) / static_cast<double>(it.helpers.size() + 1);
        })
    {
        for (int i = 0; i < engines; ++i) {
            candidates.push_back({static_cast<UpstreamKey>(i + 1), engine.slots, 1, false, Milliseconds(0)});
        }
    }

    Decision place(const WorkEstimate &work, MonoTime now, bool isDecoding = false)
    {
        const Decision made = chooseEngines(engine, work, candidates, board.loads(now), parameters);
        if (made.verdict == Verdict::Send) {
            Placement placed;
            placed.id = ++lastId;
            placed.primary = made.primary;
            placed.helpers = made.helpers;
            placed.promptTokens = work.promptTokens;
            placed.outputTokens = work.outputTokens;
            placed.gapTarget = work.gapTarget;
            placed.firstEventTarget = work.targetLeft;
            placed.placedAt = now;
            placed.isDecoding = isDecoding;
            placed.ticketTokens = made.ticketTokens;
            board.put("self", placed, now);
        }
        return made;
    }

    catalogue::EngineModel engine = makeEngine();
    ChoiceParameters parameters;
    PlacementTable board;
    std::vector<Candidate> candidates;
    PlacementId lastId = 0;
};

} // namespace

TEST_CASE("reading and writing times follow the published formula")
{
    const catalogue::EngineModel engine = makeEngine();
    CHECK(prefillMs(engine, 182'000) == Approx(182'000 / 154.0 + 0.162 * 182'000.0 * 182'000.0 / 2e6));
    CHECK(decodePassMs(engine, 0, 0) == Approx(34 * 1.31));
    CHECK(maxPrefillMsInPass(engine, 1000) == Approx(prefillMs(engine, 1000)));
    CHECK(maxPrefillMsInPass(engine, 300'000) < prefillMs(engine, 300'000));
}

TEST_CASE("short prompts fill few engines and leave the others to long ones")
{
    Fleet fleet(14);
    std::set<UpstreamKey> used;
    for (int i = 0; i < 36; ++i) {
        const Decision made = fleet.place(makeShort(), start + Milliseconds(40) * i, true);
        REQUIRE(made.verdict == Verdict::Send);
        CHECK(made.helpers.empty());
        used.insert(made.primary);
    }
    CHECK(used.size() <= 5);
}

TEST_CASE("a long prompt stays away from engines that write short answers")
{
    Fleet fleet(14);
    std::set<UpstreamKey> shorts;
    for (int i = 0; i < 36; ++i) {
        shorts.insert(fleet.place(makeShort(), start + Milliseconds(40) * i, true).primary);
    }
    const Decision made = fleet.place(makeLong(), start + Milliseconds(1500));
    REQUIRE(made.verdict == Verdict::Send);
    CHECK_FALSE(shorts.contains(made.primary));
    for (const UpstreamKey helper : made.helpers) {
        CHECK_FALSE(shorts.contains(helper));
    }
}

TEST_CASE("short prompts stay away from engines that read a long one")
{
    Fleet fleet(6);
    const Decision readBy = fleet.place(makeLong(), start);
    std::set<UpstreamKey> readers(readBy.helpers.begin(), readBy.helpers.end());
    readers.insert(readBy.primary);
    for (int i = 0; i < 8; ++i) {
        CHECK_FALSE(readers.contains(fleet.place(makeShort(), start + Milliseconds(i), true).primary));
    }
}

TEST_CASE("a long prompt is read by as many engines as its target needs")
{
    Fleet fleet(14);
    const Decision made = fleet.place(makeLong(300'000), start);
    REQUIRE(made.verdict == Verdict::Send);
    CHECK(made.helpers.size() >= 1);
    CHECK(made.predictedFirstEvent <= Milliseconds(4000));
    const std::set<UpstreamKey> members(made.helpers.begin(), made.helpers.end());
    CHECK(members.size() == made.helpers.size());
    CHECK_FALSE(members.contains(made.primary));
}

TEST_CASE("a prompt beyond one engine's memory is spread over several")
{
    Fleet fleet(14);
    const Decision made = fleet.place(makeLong(500'000), start);
    REQUIRE(made.verdict == Verdict::Send);
    CHECK(made.ticketTokens > 0);
    CHECK(made.ticketTokens * static_cast<double>(made.helpers.size() + 1) >= 500'000);
    CHECK(made.ticketTokens < 405'000);
}

TEST_CASE("memory is never promised twice")
{
    Fleet fleet(1);
    CHECK(fleet.place(makeLong(250'000), start, true).verdict == Verdict::Send);
    CHECK(fleet.place(makeLong(250'000), start, true).verdict == Verdict::TooLarge);
}

TEST_CASE("in a crest of long prompts most are on time, and the rest are refused at once")
{
    Fleet fleet(14);
    Random random(3);
    int sent = 0;
    int refused = 0;
    MonoTime now = start;
    std::vector<std::pair<MonoTime, PlacementId>> reads;
    for (int i = 0; i < 60; ++i) {
        now += Milliseconds(static_cast<std::int64_t>(random.exponential(350)));
        for (auto it = reads.begin(); it != reads.end();) {
            if (it->first <= now) {
                fleet.board.remove(it->second, it->first);
                it = reads.erase(it);
            } else {
                ++it;
            }
        }
        const Decision made = fleet.place(makeLong(60'000 + 240'000 * random.unit()), now);
        if (made.verdict == Verdict::Send) {
            ++sent;
            CHECK(made.predictedFirstEvent < Milliseconds(8000));
            reads.emplace_back(now + made.predictedFirstEvent, fleet.lastId);
        } else {
            ++refused;
            CHECK(made.retryAfter > Milliseconds(0));
        }
    }
    CHECK(sent > refused);
}

TEST_CASE("a full fleet refuses what it would answer late, and takes those that come back behind the others")
{
    Fleet fleet(2);
    int sent = 0;
    Decision last;
    for (int i = 0; i < 60; ++i) {
        last = fleet.place(makeShort(), start + Milliseconds(i), true);
        sent += last.verdict == Verdict::Send ? 1 : 0;
    }
    CHECK(sent >= 30);
    CHECK(sent <= 36);
    CHECK(last.verdict == Verdict::Crowded);
    CHECK(last.retryAfter > Milliseconds(1000));
    WorkEstimate returning = makeShort();
    returning.isAlreadyLate = true;
    CHECK(fleet.place(returning, start + Milliseconds(100)).verdict == Verdict::Send);
}

TEST_CASE("what is late and waits does not make others late")
{
    Fleet fleet(1);
    for (int i = 0; i < 15; ++i) {
        fleet.place(makeShort(), start, true);
    }
    Placement late;
    late.id = 900;
    late.primary = 1;
    late.promptTokens = 100;
    late.outputTokens = 1300;
    late.placedAt = start;
    late.isLate = true;
    fleet.board.put("self", late, start);
    CHECK(fleet.place(makeShort(), start + Milliseconds(1)).verdict == Verdict::Send);
}

TEST_CASE("nothing is sent where no time is left, and nothing where there is no upstream")
{
    Fleet fleet(2);
    WorkEstimate work = makeLong();
    work.timeLeft = Milliseconds(100);
    CHECK(fleet.place(work, start).verdict == Verdict::TooLate);
    Fleet none(0);
    CHECK(none.place(makeShort(), start).verdict == Verdict::NoUpstream);
}

TEST_CASE("an upstream on trial takes one request at a time")
{
    Fleet fleet(1);
    fleet.candidates.front().isOnTrial = true;
    CHECK(fleet.place(makeShort(), start, true).verdict == Verdict::Send);
    CHECK(fleet.place(makeShort(), start, true).verdict == Verdict::NoUpstream);
}

TEST_CASE("plain calls go where the least work waits, counted by speed")
{
    PlacementTable board([](const Placement &) {
        return 0.0;
    });
    const std::vector<Candidate> candidates{
        {1, 6, 1, false, Milliseconds(0)}, {2, 6, 1, false, Milliseconds(0)}, {3, 6, 5, false, Milliseconds(0)}};
    std::set<UpstreamKey> used;
    for (PlacementId id = 1; id <= 12; ++id) {
        const Decision made = chooseServiceUpstream({30, Milliseconds(1000)}, candidates, board.loads(start));
        REQUIRE(made.verdict == Verdict::Send);
        used.insert(made.primary);
        Placement placed;
        placed.id = id;
        placed.primary = made.primary;
        placed.isDecoding = true;
        board.put("self", placed, start);
    }
    CHECK(used == std::set<UpstreamKey>{1, 2});
    CHECK(chooseServiceUpstream({30, Milliseconds(10)}, candidates, board.loads(start)).verdict == Verdict::TooLate);
    CHECK(chooseServiceUpstream({30, Milliseconds(1000)}, {}, {}).verdict == Verdict::NoUpstream);
}
