// Engine selection for a prompt.
#include "placement/chooseengines.h"

#include "placement/enginecost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace magnolia::placement
{

namespace
{

/** Group sizes that are compared. */
constexpr std::array<std::size_t, 11> groupSizes{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16};
/** Share of an engine's memory kept free for responses that are longer than estimated. */
constexpr double memoryReserve = 0.05;
/** Share of the gap target above which a predicted gap risks exceeding the target. */
constexpr double riskyGapShare = 0.9;
/** A retry sooner than this gains nothing. */
constexpr Milliseconds minRetryAfter{200};
/** Published share of their remaining time up to which callers wait before a retry. */
constexpr double maxRetryDelayShare = 1.0 / 3;

/** State of an engine during one choice. */
struct Engine
{
    const Candidate *candidate = nullptr;
    const PlacementLoad *load = nullptr;
    std::size_t order = 0;
};

struct Plan
{
    std::vector<std::size_t> members;
    double cost = std::numeric_limits<double>::infinity();
    double firstEventMs = std::numeric_limits<double>::infinity();
    double reservedTokensPerHelper = 0;
};

struct ChoiceContext
{
    const catalogue::EngineModel &engine;
    const WorkEstimate &work;
    const ChoiceParameters &parameters;
    std::vector<Engine> engines;
    double worth = 0;
    double wholePrefillMs = 0;

    [[nodiscard]] double partMs(std::size_t parts) const
    {
        return wholePrefillMs * parameters.prefillOverheadFactor / static_cast<double>(parts);
    }

    [[nodiscard]] double passMs(const Engine &it) const
    {
        return decodePassMs(engine, static_cast<int>(it.load->decodingRequests.size()) + 1,
                   it.load->decodeContextTokens + work.promptTokens)
            * it.candidate->slowdown;
    }

    [[nodiscard]] double lossOfOthers(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] double latenessLoss(double predictedMs) const;
    [[nodiscard]] double firstEventMs(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] int requestsAhead(const Engine &it) const;
    [[nodiscard]] double engineTimePrice() const;
    [[nodiscard]] double meanBacklogMs() const;
    [[nodiscard]] double occupancyLoss(std::size_t parts, double part) const;
    [[nodiscard]] bool canFitOneEngine() const;
    [[nodiscard]] double orderCost(const Engine &it, double part) const;
    [[nodiscard]] bool hasMemoryFor(const Engine &it, double tokens) const;
};

/**
 * Returns the worth that other requests lose: streams that decode there, or will when this prompt is prefilled, by the
 * longer gap, and own prompts of the engine that a helper part delays.
 */
double ChoiceContext::lossOfOthers(const Engine &it, double part, bool isHelper) const
{
    const double maxInPass = maxPrefillMsInPass(engine, work.promptTokens);
    const double pass = passMs(it);
    double loss = 0;
    for (const PlacementLoad::PendingPrefill &pending : it.load->pendingPrefills) {
        const double targetGap = static_cast<double>(pending.gapTarget.count());
        if (isHelper) {
            // The less slack a prompt has, the more likely this part makes it late.
            loss += pending.slackMs > 0
                ? pending.worth * parameters.lateLoss * std::min(1.0, part * it.candidate->slowdown / pending.slackMs)
                : 0;
        } else if (targetGap > 0
            && pass + std::min(part, maxInPass) * it.candidate->slowdown > targetGap * riskyGapShare) {
            loss += pending.worth * parameters.lateLoss;
        }
    }
    const double predictedGap = pass + std::min(it.load->backlogMs + part, maxInPass) * it.candidate->slowdown;
    for (const PlacementLoad::DecodingRequest &decoding : it.load->decodingRequests) {
        const double targetGap = static_cast<double>(decoding.gapTarget.count());
        if (targetGap > 0 && predictedGap > targetGap * riskyGapShare) {
            loss += decoding.worth * parameters.lateLoss;
        }
    }
    return loss;
}

/** Returns the worth of a millisecond of engine time: 0 while the engines are idle, that of a long prompt at peak. */
double ChoiceContext::engineTimePrice() const
{
    const double prompt = engine.kvCapacityTokens / 2;
    const double worthPerMs = worthOf(prompt, 0) / std::max(1.0, prefillMs(engine, prompt));
    return worthPerMs * std::min(1.0, meanBacklogMs() / parameters.fullPriceBacklogMs);
}

double ChoiceContext::meanBacklogMs() const
{
    double backlog = 0;
    for (const Engine &it : engines) {
        backlog += it.load->backlogMs * it.candidate->slowdown;
    }
    return backlog / static_cast<double>(std::max<std::size_t>(1, engines.size()));
}

/**
 * Returns the worth lost by requests that arrive during the prefill and find the engines taken. Their rate is estimated
 * from the current requests and the typical time of a response. A group that leaves enough engines free costs nothing.
 */
double ChoiceContext::occupancyLoss(std::size_t parts, double part) const
{
    const double takenShare
        = static_cast<double>(parts) / static_cast<double>(std::max<std::size_t>(1, engines.size()));
    if (takenShare <= parameters.freeGroupShare) {
        return 0;
    }
    double currentWorth = 0;
    for (const Engine &it : engines) {
        for (const PlacementLoad::DecodingRequest &decoding : it.load->decodingRequests) {
            currentWorth += decoding.worth;
        }
        for (const PlacementLoad::PendingPrefill &pending : it.load->pendingPrefills) {
            currentWorth += pending.slackMs < part ? pending.worth : 0;
        }
    }
    const double arrivingWorth = currentWorth * part / parameters.typicalResponseMs;
    return parameters.lateLoss * arrivingWorth * (takenShare - parameters.freeGroupShare)
        / (1 - parameters.freeGroupShare);
}

double ChoiceContext::latenessLoss(double predictedMs) const
{
    const double target = std::max<double>(1, static_cast<double>(work.targetLeft.count()));
    const double left = static_cast<double>(work.timeLeft.count());
    if (predictedMs >= left) {
        return 1;
    }
    if (work.isAlreadyLate) {
        // The request is late in any case; it only has to arrive while the caller waits.
        return (1 - parameters.lateLoss) * predictedMs / left;
    }
    const double share = predictedMs / target;
    if (share <= parameters.safeTargetShare) {
        return 0;
    }
    if (share < 1) {
        constexpr double uncertain = 0.3;
        return parameters.lateLoss * uncertain * (share - parameters.safeTargetShare)
            / (1 - parameters.safeTargetShare);
    }
    // The later the response, the less likely it is of any use.
    return parameters.lateLoss
        + (1 - parameters.lateLoss) * std::min(1.0, (predictedMs - target) / std::max(left - target, 1.0));
}

double ChoiceContext::firstEventMs(const Engine &it, double part, bool isHelper) const
{
    const double pass = passMs(it);
    // On average half a pass remains when the request arrives, and the first event ends a pass of its own.
    // A pass with decoding requests continues its prefill to the end, whatever arrives meanwhile.
    const double inPass = std::min(it.load->backlogMs, maxPrefillMsInPass(engine, it.load->longestPrefillTokens));
    const double wait
        = it.load->decodingRequests.empty() ? 0 : (isHelper ? pass + inPass * it.candidate->slowdown : pass) / 2;
    const double backlog = isHelper ? it.load->helperBacklogMs : it.load->backlogMs;
    double ms = wait + (backlog + part) * it.candidate->slowdown + pass
        + 2.0 * static_cast<double>(it.candidate->networkDelay.count());
    if (const int waiting = requestsAhead(it); waiting > 0 && !isHelper) {
        const double decodeMs
            = work.outputTokens / std::max(engine.stepsPerPass, 1) * pass * parameters.decodeOverheadFactor;
        ms += decodeMs * waiting / std::max(it.candidate->slots, 1);
    }
    return ms;
}

/** Returns the number of responses that must end before this request gets a slot if it waits behind all known ones. */
int ChoiceContext::requestsAhead(const Engine &it) const
{
    return it.load->requests + it.candidate->unreportedRequests + 1 - it.candidate->slots;
}

double ChoiceContext::orderCost(const Engine &it, double part) const
{
    const bool isLong = part > parameters.longPrefillMs;
    const double position = static_cast<double>(isLong ? engines.size() - 1 - it.order : it.order);
    double cost = parameters.orderCost * position;
    const double filled = static_cast<double>(it.load->requests + it.candidate->unreportedRequests + 1)
        / std::max(it.candidate->slots, 1);
    if (filled > parameters.fillShare) {
        // Above the share, the cost equals a few steps along the order and grows with each request.
        cost += (filled - parameters.fillShare) * parameters.orderCost * static_cast<double>(engines.size()) * 4;
    }
    return cost * worth;
}

bool ChoiceContext::hasMemoryFor(const Engine &it, double tokens) const
{
    return engine.kvCapacityTokens <= 0
        || it.load->usedKvTokens + tokens <= engine.kvCapacityTokens * (1 - memoryReserve);
}

bool ChoiceContext::canFitOneEngine() const
{
    return engine.kvCapacityTokens <= 0
        || work.promptTokens + work.outputTokens <= engine.kvCapacityTokens * (1 - memoryReserve);
}

/** Returns the cost of an engine as a member of a group, including its position in the shared order. */
double memberCost(const ChoiceContext &choice, const Engine &it, double part, bool isHelper)
{
    const double late = choice.latenessLoss(choice.firstEventMs(it, part, isHelper)) * choice.worth;
    // Among engines that would all be on time, prefers the one that is free first.
    const double wait = it.load->backlogMs * it.candidate->slowdown
        / std::max<double>(1, static_cast<double>(choice.work.targetLeft.count()));
    constexpr double waitCost = 0.1;
    return choice.lossOfOthers(it, part, isHelper) + late + choice.orderCost(it, part) + waitCost * choice.worth * wait;
}

/** Plans a group of `parts` engines: the cheapest primary with enough memory, and the cheapest helpers. */
std::optional<Plan> planGroup(const ChoiceContext &choice, std::size_t parts)
{
    const double part = choice.partMs(parts);
    const double neededTokens = choice.work.promptTokens + choice.work.outputTokens;
    const bool isSplitMemory = !choice.canFitOneEngine();
    const double share = isSplitMemory ? std::ceil(neededTokens / static_cast<double>(parts)) : 0;
    struct Ranked
    {
        std::size_t index;
        double cost;
    };
    std::optional<Ranked> primary;
    for (std::size_t i = 0; i < choice.engines.size(); ++i) {
        const Engine &it = choice.engines[i];
        if (choice.hasMemoryFor(it, isSplitMemory ? share : neededTokens)) {
            const double cost = memberCost(choice, it, part, false);
            if (!primary || cost < primary->cost) {
                primary = Ranked{i, cost};
            }
        }
    }
    if (!primary) {
        return std::nullopt;
    }
    std::vector<Ranked> ranked;
    for (std::size_t i = 0; i < choice.engines.size() && parts > 1; ++i) {
        const Engine &it = choice.engines[i];
        if (i != primary->index && (!isSplitMemory || choice.hasMemoryFor(it, share))) {
            ranked.push_back({i, memberCost(choice, it, part, true)});
        }
    }
    if (ranked.size() + 1 < parts) {
        return std::nullopt;
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return a.cost < b.cost;
    });
    Plan plan;
    plan.reservedTokensPerHelper = share;
    plan.members.push_back(primary->index);
    const Engine &primaryEngine = choice.engines[primary->index];
    plan.firstEventMs = choice.firstEventMs(primaryEngine, part, false);
    plan.cost = choice.lossOfOthers(primaryEngine, part, false) + choice.orderCost(primaryEngine, part)
        + choice.parameters.helperCost * static_cast<double>(parts - 1) * choice.worth;
    for (std::size_t i = 0; i + 1 < parts; ++i) {
        const Engine &it = choice.engines[ranked[i].index];
        plan.members.push_back(ranked[i].index);
        plan.firstEventMs = std::max(plan.firstEventMs, choice.firstEventMs(it, part, true));
        plan.cost += choice.lossOfOthers(it, part, true) + choice.orderCost(it, part) / static_cast<double>(parts);
    }
    plan.cost += choice.latenessLoss(plan.firstEventMs) * choice.worth + choice.occupancyLoss(parts, part);
    return plan;
}

Decision refusal(Verdict verdict, const ChoiceContext &choice, double firstEventMs)
{
    Decision decision;
    decision.verdict = verdict;
    const double target = static_cast<double>(choice.work.targetLeft.count());
    const double wait = std::isfinite(firstEventMs) ? firstEventMs - target : target;
    const double longest = static_cast<double>(choice.work.timeLeft.count()) / 4;
    decision.retryAfter
        = std::max(minRetryAfter, Milliseconds(static_cast<std::int64_t>(std::clamp(wait, 0.0, longest))));
    decision.predictedFirstEvent
        = Milliseconds(std::isfinite(firstEventMs) ? static_cast<std::int64_t>(firstEventMs) : 0);
    return decision;
}

} // namespace

Decision chooseEngines(const catalogue::EngineModel &engine, const WorkEstimate &work,
    std::span<const Candidate> candidates, const std::unordered_map<UpstreamKey, PlacementLoad> &loads,
    const ChoiceParameters &parameters)
{
    static const PlacementLoad idle;
    ChoiceContext choice{engine, work, parameters, {}, worthOf(work.promptTokens, work.outputTokens),
        prefillMs(engine, work.promptTokens)};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto load = loads.find(candidates[i].key);
        const PlacementLoad &known = load == loads.end() ? idle : load->second;
        if (candidates[i].isOnTrial && known.requests + known.helperPrefills > 0) {
            continue;
        }
        choice.engines.push_back({&candidates[i], &known, i});
    }
    if (choice.engines.empty()) {
        return refusal(Verdict::NoUpstream, choice, std::numeric_limits<double>::infinity());
    }
    Plan bestPlan;
    for (const std::size_t parts : groupSizes) {
        if (parts > choice.engines.size() || parts > parameters.maxEngines) {
            break;
        }
        // A short prefill gains nothing from more engines, unless its memory exceeds one engine.
        if (parts > 1 && choice.canFitOneEngine() && choice.partMs(parts - 1) < parameters.longPrefillMs / 2) {
            break;
        }
        if (auto plan = planGroup(choice, parts); plan && plan->cost < bestPlan.cost) {
            bestPlan = std::move(*plan);
        }
    }
    if (bestPlan.members.empty()) {
        return refusal(Verdict::TooLarge, choice, bestPlan.firstEventMs);
    }
    if (bestPlan.firstEventMs >= static_cast<double>(work.timeLeft.count())) {
        return refusal(Verdict::TooLate, choice, bestPlan.firstEventMs);
    }
    // Engine time is charged at the worth of the requests that could use it instead.
    const double gain = work.isAlreadyLate ? parameters.secondRefusalLoss * choice.worth : choice.worth;
    if (bestPlan.cost + choice.engineTimePrice() * choice.wholePrefillMs > gain) {
        // The price falls as the backlog is worked off. A caller that returns sooner is refused again.
        Decision refused = refusal(Verdict::Crowded, choice, bestPlan.firstEventMs);
        const double wait
            = std::min(choice.meanBacklogMs(), static_cast<double>(work.timeLeft.count()) * maxRetryDelayShare);
        refused.retryAfter = std::max(refused.retryAfter, Milliseconds(static_cast<std::int64_t>(wait)));
        return refused;
    }
    // A full fleet that accepts late requests makes all requests late, so callers retry once some responses have ended.
    const Engine &primaryEngine = choice.engines[bestPlan.members.front()];
    if (!work.isAlreadyLate && choice.requestsAhead(primaryEngine) > 0
        && bestPlan.firstEventMs > static_cast<double>(work.targetLeft.count())) {
        Decision refused = refusal(Verdict::Crowded, choice, bestPlan.firstEventMs);
        const double decodeMs = work.outputTokens / std::max(engine.stepsPerPass, 1) * choice.passMs(primaryEngine);
        refused.retryAfter = std::max(refused.retryAfter, Milliseconds(static_cast<std::int64_t>(decodeMs)));
        return refused;
    }
    Decision decision;
    decision.verdict = Verdict::Send;
    decision.primary = choice.engines[bestPlan.members.front()].candidate->key;
    for (std::size_t i = 1; i < bestPlan.members.size(); ++i) {
        decision.helpers.push_back(choice.engines[bestPlan.members[i]].candidate->key);
    }
    decision.reservedTokensPerHelper = bestPlan.reservedTokensPerHelper;
    decision.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(bestPlan.firstEventMs));
    return decision;
}

} // namespace magnolia::placement
