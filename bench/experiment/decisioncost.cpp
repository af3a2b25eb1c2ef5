// The slopes that the capacity page reckons with.
#include "decisioncost.h"

#include "framework/global/random.h"
#include "placement/chooseengines.h"
#include "placement/enginecost.h"
#include "placement/placementtable.h"

#include <chrono>

namespace magnolia::bench
{

namespace
{

constexpr std::size_t placementsOfOneEngine = 6;
constexpr int decisions = 200;
constexpr int notes = 2000;
/** Above the ids of the placements that are there. */
constexpr std::uint64_t firstNote = 1'000'000;

catalogue::EngineModel usualEngine()
{
    // The published model of the engines that the first sites use.
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
    engine.hopMs = 0.1;
    return engine;
}

placement::Placement makePlacement(std::uint64_t id, std::size_t engines, Random &random, MonoTime now)
{
    placement::Placement made;
    made.id = id;
    made.primary = random.below(engines) + 1;
    made.promptTokens = 2000 + static_cast<double>(random.below(100'000));
    made.outputTokens = 1000;
    made.gapTarget = Milliseconds(250);
    made.placedAt = now;
    made.firstEventTarget = Milliseconds(1000);
    return made;
}

double microsecondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
}

DecisionCost measure(std::size_t engines)
{
    const catalogue::EngineModel engine = usualEngine();
    placement::PlacementTable board([&engine](const placement::Placement &it) {
        return placement::prefillMs(engine, it.promptTokens);
    });
    Random random(1);
    MonoTime now{Seconds(100)};
    DecisionCost made;
    made.engines = engines;
    made.placements = engines * placementsOfOneEngine;
    std::vector<placement::Candidate> candidates(engines);
    for (std::size_t i = 0; i < engines; ++i) {
        candidates[i].key = i + 1;
        candidates[i].slots = engine.slots;
    }
    for (std::size_t i = 0; i < made.placements; ++i) {
        board.put("peer", makePlacement(i + 1, engines, random, now), now);
        if (i % 2 == 0) {
            board.setDecoding(i + 1, now);
        }
    }
    placement::WorkEstimate work;
    work.outputTokens = 1000;
    work.gapTarget = Milliseconds(250);
    auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < decisions; ++i) {
        now += Milliseconds(1);
        work.promptTokens = i % 10 == 0 ? 180'000 : 5000;
        const auto loads = board.loads(now);
        (void)placement::chooseEngines(engine, work, candidates, loads, {});
    }
    made.decisionUs = microsecondsSince(begin) / decisions;
    begin = std::chrono::steady_clock::now();
    for (int i = 0; i < notes; ++i) {
        now += Microseconds(100);
        const auto id = firstNote + static_cast<std::uint64_t>(i);
        board.put("peer", makePlacement(id, engines, random, now), now);
        board.setDecoding(id, now);
        board.remove(id, now);
    }
    made.noteUs = microsecondsSince(begin) / notes / 3;
    return made;
}

} // namespace

std::vector<DecisionCost> measureDecisionCosts()
{
    std::vector<DecisionCost> costs;
    for (const std::size_t engines : {14, 45, 140, 280, 700, 2800}) {
        costs.push_back(measure(engines));
    }
    return costs;
}

} // namespace magnolia::bench
