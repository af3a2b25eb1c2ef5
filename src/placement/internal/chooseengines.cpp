// Engine selection for a prompt.
#include "placement/chooseengines.h"

#include "catalogue/callerbehaviour.h"
#include "placement/enginecost.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>

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
    /** Time to the first event if prompts that come later delay it. */
    double latestFirstEventMs = std::numeric_limits<double>::infinity();
    double reservedTokensPerHelper = 0;
    /** Whether the caller gets its whole response in time. */
    bool isInTime = false;
    /** Callers who were there before and would leave without a response because of this plan. */
    int lostCallers = 0;
};

struct ChoiceContext
{
    const catalogue::EngineModel &engine;
    const WorkEstimate &work;
    const CallerTime &time;
    const ResponseTargets &targets;
    const ChoiceParameters &parameters;
    std::vector<Engine> engines;
    double wholePrefillMs = 0;
    /** Time left for the first event, in milliseconds. */
    double firstEventLimitMs = 0;
    /** Whether a prompt waits at any engine or is being prefilled there. */
    bool hasBacklog = false;

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

    [[nodiscard]] int lostCallers(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] double lossOfOthers(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] double lateness(double predictedMs) const;
    [[nodiscard]] double meanResponseMs() const;
    [[nodiscard]] double firstEventMs(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] double latestFirstEventMs(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] int requestsAhead(const Engine &it) const;
    [[nodiscard]] double occupancyLoss(std::size_t parts, double part) const;
    [[nodiscard]] bool canFitOneEngine() const;
    [[nodiscard]] double orderCost(const Engine &it, double part) const;
    [[nodiscard]] bool hasMemoryFor(const Engine &it, double tokens) const;
};

/**
 * Returns how many callers leave because of this prompt: of own prompts of the engine that a helper part delays, and of
 * streams that decode there. An own prompt waits behind those that were there before.
 */
int ChoiceContext::lostCallers(const Engine &it, double part, bool isHelper) const
{
    const double slowdown = it.candidate->slowdown;
    const auto isLost = [&](const PlacementLoad::PendingPrefill &pending) {
        return isHelper && pending.slackMs >= 0 && pending.slackMs < part * slowdown;
    };
    const double pass = passMs(it);
    const double maxInPass = maxPrefillMsInPass(engine, work.promptTokens);
    const double gap = pass + std::min(it.load->backlogMs, maxInPass) * slowdown;
    const double gapWithPart = pass + std::min(it.load->backlogMs + part, maxInPass) * slowdown;
    const auto isAbandoned = [&](const PlacementLoad::DecodingRequest &decoding) {
        const auto patience
            = static_cast<double>(catalogue::streamPatience(Milliseconds{0}, decoding.gapTarget).count());
        return gap <= patience && gapWithPart > patience;
    };
    return static_cast<int>(std::count_if(it.load->pendingPrefills.begin(), it.load->pendingPrefills.end(), isLost)
        + std::count_if(it.load->decodingRequests.begin(), it.load->decodingRequests.end(), isAbandoned));
}

/**
 * Returns how many other requests are expected to miss a target: streams that decode there, or will when this prompt is
 * prefilled, by the longer gap, and own prompts of the engine that a helper part delays.
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
            loss += pending.slackMs > 0 ? std::min(1.0, part * it.candidate->slowdown / pending.slackMs) : 0;
        } else if (targetGap > 0
            && pass + std::min(part, maxInPass) * it.candidate->slowdown > targetGap * riskyGapShare) {
            loss += 1;
        }
    }
    const double predictedGap = pass + std::min(it.load->backlogMs + part, maxInPass) * it.candidate->slowdown;
    for (const PlacementLoad::DecodingRequest &decoding : it.load->decodingRequests) {
        const double targetGap = static_cast<double>(decoding.gapTarget.count());
        if (targetGap > 0 && predictedGap > targetGap * riskyGapShare) {
            loss += 1;
        }
    }
    return loss;
}

/** Returns the mean time for which the current requests have a slot, by their output. */
double ChoiceContext::meanResponseMs() const
{
    double outputTokens = 0;
    double requests = 0;
    for (const Engine &it : engines) {
        outputTokens += it.load->outputTokens;
        requests += it.load->requests;
    }
    const double passes = outputTokens / std::max(1.0, requests) / std::max(engine.stepsPerPass, 1);
    return std::max(1.0, passes) * decodePassMs(engine, engine.slots / 2, 0);
}

/**
 * Returns how many requests that arrive during the prefill are expected to find the engines taken and to miss their
 * target. Their rate follows from the current requests and their mean response time (Little, 1961). A group that leaves
 * enough engines free costs nothing.
 */
double ChoiceContext::occupancyLoss(std::size_t parts, double part) const
{
    const double takenShare
        = static_cast<double>(parts) / static_cast<double>(std::max<std::size_t>(1, engines.size()));
    if (takenShare <= parameters.freeGroupShare) {
        return 0;
    }
    double current = 0;
    for (const Engine &it : engines) {
        current += static_cast<double>(it.load->decodingRequests.size());
        for (const PlacementLoad::PendingPrefill &pending : it.load->pendingPrefills) {
            current += pending.slackMs < part ? 1 : 0;
        }
    }
    const double arriving = current * part / meanResponseMs();
    return arriving * (takenShare - parameters.freeGroupShare) / (1 - parameters.freeGroupShare);
}

/** Returns how far the request is expected to miss its target: 1 at the target, 2 if its caller leaves before. */
double ChoiceContext::lateness(double predictedMs) const
{
    const double target = std::max<double>(1, static_cast<double>(targets.firstEvent.count()));
    const double left = firstEventLimitMs;
    if (predictedMs >= left) {
        return 2;
    }
    const double share = predictedMs / target;
    if (share <= parameters.safeTargetShare) {
        return 0;
    }
    if (share < 1) {
        constexpr double uncertain = 0.3;
        return uncertain * (share - parameters.safeTargetShare) / (1 - parameters.safeTargetShare);
    }
    return 1 + std::min(1.0, (predictedMs - target) / std::max(left - target, 1.0));
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

/**
 * Returns the time to the first event if prompts that come later delay it. While the fleet has a backlog, their parts
 * are read before the own prompts of their helpers, which then wait for longer than it seems now.
 */
double ChoiceContext::latestFirstEventMs(const Engine &it, double part, bool isHelper) const
{
    const double backlog = isHelper ? it.load->helperBacklogMs : it.load->backlogMs;
    const double delay = hasBacklog ? (parameters.overtakenPrefillFactor - 1) * (backlog + part) : 0;
    return firstEventMs(it, part, isHelper) + delay * it.candidate->slowdown;
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
    return cost;
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

/** What an engine would mean as a member of a group. Serving in time goes first, then fewer lost callers, then cost. */
struct Member
{
    std::size_t index = 0;
    bool isLate = false;
    int lostCallers = 0;
    double cost = 0;

    [[nodiscard]] bool isBetterThan(const Member &other) const
    {
        return std::tie(isLate, lostCallers, cost) < std::tie(other.isLate, other.lostCallers, other.cost);
    }
};

/** Rates an engine as a member; the cost includes its position in the shared order. */
Member rateMember(const ChoiceContext &choice, std::size_t index, double part, bool isHelper)
{
    const Engine &it = choice.engines[index];
    const double firstEventMs = choice.firstEventMs(it, part, isHelper);
    // Among engines that would all be on time, prefers the one that is free first.
    const double wait = it.load->backlogMs * it.candidate->slowdown
        / std::max<double>(1, static_cast<double>(choice.targets.firstEvent.count()));
    constexpr double waitCost = 0.1;
    const bool isLate = choice.latestFirstEventMs(it, part, isHelper) >= choice.firstEventLimitMs;
    return {index, isLate, choice.lostCallers(it, part, isHelper),
        choice.lossOfOthers(it, part, isHelper) + choice.lateness(firstEventMs) + choice.orderCost(it, part)
            + waitCost * wait};
}

/** Plans a group of `parts` engines: the best primary with enough memory, and the best helpers. */
std::optional<Plan> planGroup(const ChoiceContext &choice, std::size_t parts)
{
    const double part = choice.partMs(parts);
    const double neededTokens = choice.work.promptTokens + choice.work.outputTokens;
    const bool isSplitMemory = !choice.canFitOneEngine();
    const double share = isSplitMemory ? std::ceil(neededTokens / static_cast<double>(parts)) : 0;
    std::optional<Member> primary;
    for (std::size_t i = 0; i < choice.engines.size(); ++i) {
        if (choice.hasMemoryFor(choice.engines[i], isSplitMemory ? share : neededTokens)) {
            const Member member = rateMember(choice, i, part, false);
            if (!primary || member.isBetterThan(*primary)) {
                primary = member;
            }
        }
    }
    if (!primary) {
        return std::nullopt;
    }
    std::vector<Member> helpers;
    for (std::size_t i = 0; i < choice.engines.size() && parts > 1; ++i) {
        if (i != primary->index && (!isSplitMemory || choice.hasMemoryFor(choice.engines[i], share))) {
            helpers.push_back(rateMember(choice, i, part, true));
        }
    }
    if (helpers.size() + 1 < parts) {
        return std::nullopt;
    }
    std::sort(helpers.begin(), helpers.end(), [](const Member &a, const Member &b) {
        return a.isBetterThan(b);
    });
    Plan plan;
    plan.reservedTokensPerHelper = share;
    plan.members.push_back(primary->index);
    const Engine &primaryEngine = choice.engines[primary->index];
    plan.firstEventMs = choice.firstEventMs(primaryEngine, part, false);
    plan.latestFirstEventMs = choice.latestFirstEventMs(primaryEngine, part, false);
    plan.lostCallers = choice.lostCallers(primaryEngine, part, false);
    plan.cost = choice.lossOfOthers(primaryEngine, part, false) + choice.orderCost(primaryEngine, part)
        + choice.parameters.helperCost * static_cast<double>(parts - 1);
    for (std::size_t i = 0; i + 1 < parts; ++i) {
        const Engine &it = choice.engines[helpers[i].index];
        plan.members.push_back(helpers[i].index);
        plan.firstEventMs = std::max(plan.firstEventMs, choice.firstEventMs(it, part, true));
        plan.latestFirstEventMs = std::max(plan.latestFirstEventMs, choice.latestFirstEventMs(it, part, true));
        plan.lostCallers += choice.lostCallers(it, part, true);
        plan.cost += choice.lossOfOthers(it, part, true) + choice.orderCost(it, part) / static_cast<double>(parts);
    }
    plan.cost += choice.lateness(plan.firstEventMs) + choice.occupancyLoss(parts, part);
    plan.isInTime = plan.latestFirstEventMs < choice.firstEventLimitMs;
    return plan;
}

/** A plan that serves in time goes first, then one by which fewer callers are lost, then the one of lower cost. */
bool isBetter(const Plan &a, const Plan &b)
{
    if (!a.isInTime && !b.isInTime) {
        return a.latestFirstEventMs < b.latestFirstEventMs;
    }
    return std::make_tuple(!a.isInTime, a.lostCallers, a.cost) < std::make_tuple(!b.isInTime, b.lostCallers, b.cost);
}

/** Returns the time until an engine has prefilled all its prompts, in milliseconds. */
double timeUntilIdlePrefill(const ChoiceContext &choice)
{
    double earliest = std::numeric_limits<double>::infinity();
    for (const Engine &it : choice.engines) {
        earliest = std::min(earliest, it.load->backlogMs * it.candidate->slowdown);
    }
    return earliest;
}

/** Returns the time until `tokens` fit into the memory of an engine, in milliseconds; infinite if they never do. */
double timeUntilMemory(const ChoiceContext &choice, const Engine &it, double tokens)
{
    if (choice.hasMemoryFor(it, tokens)) {
        return 0;
    }
    std::vector<PlacementLoad::MemoryHold> holds = it.load->memoryHolds;
    std::sort(holds.begin(), holds.end(), [](const auto &a, const auto &b) {
        return a.endsInMs < b.endsInMs;
    });
    double freed = 0;
    for (const PlacementLoad::MemoryHold &hold : holds) {
        freed += hold.tokens;
        if (choice.hasMemoryFor(it, tokens - freed)) {
            return hold.endsInMs * it.candidate->slowdown;
        }
    }
    return std::numeric_limits<double>::infinity();
}

/** Returns the time until the prompt fits on one engine or on a group of some size, in milliseconds. */
double timeUntilMemory(const ChoiceContext &choice)
{
    const double neededTokens = choice.work.promptTokens + choice.work.outputTokens;
    double earliest = std::numeric_limits<double>::infinity();
    for (const std::size_t parts : groupSizes) {
        if (parts > choice.engines.size() || parts > choice.parameters.maxEngines) {
            break;
        }
        std::vector<double> times;
        for (const Engine &it : choice.engines) {
            times.push_back(timeUntilMemory(choice, it, std::ceil(neededTokens / static_cast<double>(parts))));
        }
        std::sort(times.begin(), times.end());
        earliest = std::min(earliest, times[parts - 1]);
        if (choice.canFitOneEngine()) {
            break;
        }
    }
    return earliest;
}

Decision refusal(Verdict verdict, const ChoiceContext &choice, double firstEventMs)
{
    Decision decision;
    decision.verdict = verdict;
    decision.retryAfter = timeUntilServable(choice.time, firstEventMs, choice.work.decodeMs);
    decision.predictedFirstEvent
        = Milliseconds(std::isfinite(firstEventMs) ? static_cast<std::int64_t>(firstEventMs) : 0);
    return decision;
}

/** Returns the refusal of a request that can be placed in `waitMs`, and whose first event takes `firstEventMs` then. */
Decision refusalUntil(Verdict verdict, const ChoiceContext &choice, double waitMs, double firstEventMs)
{
    Decision decision = refusal(verdict, choice, waitMs + firstEventMs);
    if (decision.retryAfter) {
        decision.retryAfter
            = std::max(*decision.retryAfter, Milliseconds(static_cast<std::int64_t>(std::ceil(waitMs))));
    }
    return decision;
}

} // namespace

Decision chooseEngines(const catalogue::EngineModel &engine, const WorkEstimate &work, const CallerTime &time,
    const ResponseTargets &targets, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads, const ChoiceParameters &parameters)
{
    static const PlacementLoad idle;
    ChoiceContext choice{engine, work, time, targets, parameters, {}, prefillMs(engine, work.promptTokens),
        static_cast<double>(time.untilFirstEvent(work.decodeMs).count())};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto load = loads.find(candidates[i].key);
        const PlacementLoad &known = load == loads.end() ? idle : load->second;
        if (candidates[i].isOnTrial && known.requests + known.helperPrefills > 0) {
            continue;
        }
        choice.engines.push_back({&candidates[i], &known, i});
        choice.hasBacklog = choice.hasBacklog || known.backlogMs > 0;
    }
    if (choice.engines.empty()) {
        return refusal(Verdict::NoUpstream, choice, std::numeric_limits<double>::infinity());
    }
    std::optional<Plan> bestPlan;
    for (const std::size_t parts : groupSizes) {
        if (parts > choice.engines.size() || parts > parameters.maxEngines) {
            break;
        }
        // A short prefill gains nothing from more engines, unless its memory exceeds one engine.
        if (parts > 1 && choice.canFitOneEngine() && choice.partMs(parts - 1) < parameters.longPrefillMs / 2) {
            break;
        }
        if (auto plan = planGroup(choice, parts); plan && (!bestPlan || isBetter(*plan, *bestPlan))) {
            bestPlan = std::move(*plan);
        }
    }
    if (!bestPlan) {
        return refusalUntil(Verdict::TooLarge, choice, timeUntilMemory(choice),
            choice.partMs(std::min(choice.engines.size(), parameters.maxEngines)));
    }
    if (!bestPlan->isInTime) {
        return refusal(Verdict::TooLate, choice, bestPlan->latestFirstEventMs);
    }
    if (bestPlan->lostCallers > 0) {
        return refusalUntil(Verdict::Crowded, choice, timeUntilIdlePrefill(choice), bestPlan->firstEventMs);
    }
    Decision decision;
    decision.verdict = Verdict::Send;
    decision.primary = choice.engines[bestPlan->members.front()].candidate->key;
    for (std::size_t i = 1; i < bestPlan->members.size(); ++i) {
        decision.helpers.push_back(choice.engines[bestPlan->members[i]].candidate->key);
    }
    decision.reservedTokensPerHelper = bestPlan->reservedTokensPerHelper;
    decision.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(bestPlan->firstEventMs));
    return decision;
}

} // namespace magnolia::placement
