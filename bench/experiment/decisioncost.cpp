// Measures the costs on which the capacity page bases its calculations.
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

constexpr std::size_t placementsPerEngine = 6;
constexpr int decisionCount = 200;
constexpr int updateCount = 2000;
/** Greater than the ids of the placements that are already in the table. */
constexpr std::uint64_t firstUpdateId = 1'000'000;

catalogue::EngineModel typicalEngine()
{
    // The published model of the engines at the first sites.
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

placement::Placement makePlacement(std::uint64_t id, std::size_t engineCount, Random &random, MonoTime now)
{
    placement::Placement newPlacement;
    newPlacement.id = id;
    newPlacement.primary = random.below(engineCount) + 1;
    newPlacement.promptTokens = 2000 + static_cast<double>(random.below(100'000));
    newPlacement.outputTokens = 1000;
    newPlacement.gapTarget = Milliseconds(250);
    newPlacement.placedAt = now;
    newPlacement.firstEventLimit = Milliseconds(1000);
    return newPlacement;
}

double microsecondsSince(std::chrono::steady_clock::time_point startedAt)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count();
}

DecisionCost measureDecisionCost(std::size_t engineCount)
{
    const catalogue::EngineModel engine = typicalEngine();
    placement::PlacementTable table([&engine](const placement::Placement &it) {
        return placement::prefillMs(engine, it.promptTokens);
    });
    Random random(1);
    MonoTime now{Seconds(100)};
    DecisionCost cost;
    cost.engineCount = engineCount;
    cost.placementCount = engineCount * placementsPerEngine;
    std::vector<placement::Candidate> candidates(engineCount);
    for (std::size_t i = 0; i < engineCount; ++i) {
        candidates[i].key = i + 1;
        candidates[i].slots = engine.slots;
    }
    for (std::size_t i = 0; i < cost.placementCount; ++i) {
        table.put("peer", makePlacement(i + 1, engineCount, random, now), now);
        if (i % 2 == 0) {
            table.setDecoding(i + 1, now);
        }
    }
    placement::WorkEstimate work;
    work.outputTokens = 1000;
    const placement::ResponseTargets targets{Milliseconds(300), Milliseconds(250)};
    auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < decisionCount; ++i) {
        now += Milliseconds(1);
        work.promptTokens = i % 10 == 0 ? 180'000 : 5000;
        const auto loads = table.loads(now);
        (void)placement::chooseEngines(engine, work, {}, targets, candidates, loads, {});
    }
    cost.decisionUs = microsecondsSince(startedAt) / decisionCount;
    startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < updateCount; ++i) {
        now += Microseconds(100);
        const auto id = firstUpdateId + static_cast<std::uint64_t>(i);
        table.put("peer", makePlacement(id, engineCount, random, now), now);
        table.setDecoding(id, now);
        table.remove(id, now);
    }
    cost.updateUs = microsecondsSince(startedAt) / updateCount / 3;
    return cost;
}

} // namespace

std::vector<DecisionCost> measureDecisionCosts()
{
    std::vector<DecisionCost> costs;
    for (const std::size_t engineCount : {14, 45, 140, 280, 700, 2800}) {
        costs.push_back(measureDecisionCost(engineCount));
    }
    return costs;
}

} // namespace magnolia::bench
