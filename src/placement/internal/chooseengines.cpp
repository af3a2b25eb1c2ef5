// The choice of engines for one prompt.
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

/** How many engines a read is tried on. */
constexpr std::array<std::size_t, 11> groupSizes{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 16};
/** Memory that is kept free on an engine, as a share, for answers that grow longer than estimated. */
constexpr double memoryReserve = 0.05;
/** A predicted pause above this share of the target may turn out longer than the target. */
constexpr double pauseShare = 0.9;
/** Coming back sooner than this gains nothing. */
constexpr Milliseconds shortestReturn{200};

/** The state of one engine, as one choice sees it. */
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
    double firstMs = std::numeric_limits<double>::infinity();
    double ticketTokens = 0;
};

struct Choice
{
    const catalogue::EngineModel &engine;
    const WorkEstimate &work;
    const ChoiceParameters &parameters;
    std::vector<Engine> engines;
    double worth = 0;
    double wholeReadMs = 0;

    [[nodiscard]] double partMs(std::size_t parts) const
    {
        return wholeReadMs * parameters.prefillOverheadFactor / static_cast<double>(parts);
    }

    [[nodiscard]] double passMs(const Engine &it) const
    {
        return decodePassMs(engine, static_cast<int>(it.load->decodingRequests.size()) + 1,
                   it.load->decodeContextTokens + work.promptTokens)
            * it.candidate->slowdown;
    }

    [[nodiscard]] double harm(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] double lateness(double firstMs) const;
    [[nodiscard]] double firstEventMs(const Engine &it, double part, bool isHelper) const;
    [[nodiscard]] int waitingBefore(const Engine &it) const;
    [[nodiscard]] double timePrice() const;
    [[nodiscard]] double crowding(std::size_t parts, double part) const;
    [[nodiscard]] bool isHeldByOne() const;
    [[nodiscard]] double orderCost(const Engine &it, double part) const;
    [[nodiscard]] bool canHold(const Engine &it, double tokens) const;
};

/**
 * What others lose: streams that are written there, or will be when this prompt is read, by the pause that it makes,
 * and prompts that a part is read before.
 */
double Choice::harm(const Engine &it, double part, bool isHelper) const
{
    const double most = maxPrefillMsInPass(engine, work.promptTokens);
    const double pass = passMs(it);
    double lost = 0;
    for (const PlacementLoad::PendingPrefill &read : it.load->pendingPrefills) {
        const double gap = static_cast<double>(read.gapTarget.count());
        if (isHelper) {
            // The less slack is left, the likelier the part is what makes it late.
            lost += read.slackMs > 0 ? read.worth * parameters.lateLoss * std::min(1.0, part / read.slackMs) : 0;
        } else if (gap > 0 && pass + std::min(part, most) * it.candidate->slowdown > gap * pauseShare) {
            lost += read.worth * parameters.lateLoss;
        }
    }
    const double pause = pass + std::min(it.load->backlogMs + part, most) * it.candidate->slowdown;
    for (const PlacementLoad::DecodingRequest &writer : it.load->decodingRequests) {
        const double gap = static_cast<double>(writer.gapTarget.count());
        if (gap > 0 && pause > gap * pauseShare) {
            lost += writer.worth * parameters.lateLoss;
        }
    }
    return lost;
}

/** Worth of a millisecond of an engine: nothing while engines wait for work, that of a common long prompt in a crest.
 */
double Choice::timePrice() const
{
    double backlog = 0;
    for (const Engine &it : engines) {
        backlog += it.load->backlogMs;
    }
    backlog /= static_cast<double>(std::max<std::size_t>(1, engines.size()));
    const double prompt = engine.kvCapacityTokens / 2;
    const double perMs = worthOf(prompt, 0) / std::max(1.0, prefillMs(engine, prompt));
    return perMs * std::min(1.0, backlog / parameters.fullPriceBacklogMs);
}

/**
 * What requests lose that come while a group reads: as many as come now find the engines taken. Those that are here
 * tell the rate, by the time that answers take. A group that leaves enough engines free takes nothing from them.
 */
double Choice::crowding(std::size_t parts, double part) const
{
    const double taken = static_cast<double>(parts) / static_cast<double>(std::max<std::size_t>(1, engines.size()));
    if (taken <= parameters.freeGroupShare) {
        return 0;
    }
    double here = 0;
    for (const Engine &it : engines) {
        for (const PlacementLoad::DecodingRequest &writer : it.load->decodingRequests) {
            here += writer.worth;
        }
        for (const PlacementLoad::PendingPrefill &read : it.load->pendingPrefills) {
            here += read.slackMs < part ? read.worth : 0;
        }
    }
    const double coming = here * part / parameters.typicalAnswerMs;
    return parameters.lateLoss * coming * (taken - parameters.freeGroupShare) / (1 - parameters.freeGroupShare);
}

double Choice::lateness(double firstMs) const
{
    const double target = std::max<double>(1, static_cast<double>(work.targetLeft.count()));
    const double left = static_cast<double>(work.timeLeft.count());
    if (firstMs >= left) {
        return 1;
    }
    if (work.isAlreadyLate) {
        // Late is all it can be; it only has to come while it is waited for.
        return (1 - parameters.lateLoss) * firstMs / left;
    }
    const double share = firstMs / target;
    if (share <= parameters.safeTargetShare) {
        return 0;
    }
    if (share < 1) {
        constexpr double uncertain = 0.3;
        return parameters.lateLoss * uncertain * (share - parameters.safeTargetShare)
            / (1 - parameters.safeTargetShare);
    }
    // The later the less likely that it is still worth anything.
    return parameters.lateLoss
        + (1 - parameters.lateLoss) * std::min(1.0, (firstMs - target) / std::max(left - target, 1.0));
}

double Choice::firstEventMs(const Engine &it, double part, bool isHelper) const
{
    const double pass = passMs(it);
    // On the mean, half a pass is under way when the request arrives, and the first event closes one of its own.
    // A pass with decoding requests reads on to its end, whatever arrives meanwhile.
    const double inPass = std::min(it.load->backlogMs, maxPrefillMsInPass(engine, it.load->longestPrefillTokens));
    const double wait = it.load->decodingRequests.empty() ? 0 : (isHelper ? pass + inPass : pass) / 2;
    const double backlog = isHelper ? it.load->helperBacklogMs : it.load->backlogMs;
    double ms = wait + backlog + part * it.candidate->slowdown + pass
        + 2.0 * static_cast<double>(it.candidate->networkDelay.count());
    if (const int waiting = waitingBefore(it); waiting > 0 && !isHelper) {
        const double answer
            = work.outputTokens / std::max(engine.stepsPerPass, 1) * pass * parameters.decodeOverheadFactor;
        ms += answer * waiting / std::max(it.candidate->slots, 1);
    }
    return ms;
}

/** Answers that have to end before this request gets a slot; what is late waits behind it. */
int Choice::waitingBefore(const Engine &it) const
{
    const int before = it.load->requests - (work.isAlreadyLate ? 0 : it.load->waitingLate);
    return before + it.candidate->unreportedRequests + 1 - it.candidate->slots;
}

double Choice::orderCost(const Engine &it, double part) const
{
    const bool isLong = part > parameters.longPrefillMs;
    const double place = static_cast<double>(isLong ? engines.size() - 1 - it.order : it.order);
    double cost = parameters.orderCost * place;
    const double filled = static_cast<double>(it.load->requests + it.candidate->unreportedRequests + 1)
        / std::max(it.candidate->slots, 1);
    if (filled > parameters.fillShare) {
        // Beyond the share, an engine costs as much as a few steps along the order, and more with each request.
        cost += (filled - parameters.fillShare) * parameters.orderCost * static_cast<double>(engines.size()) * 4;
    }
    return cost * worth;
}

bool Choice::canHold(const Engine &it, double tokens) const
{
    return engine.kvCapacityTokens <= 0
        || it.load->usedKvTokens + tokens <= engine.kvCapacityTokens * (1 - memoryReserve);
}

bool Choice::isHeldByOne() const
{
    return engine.kvCapacityTokens <= 0
        || work.promptTokens + work.outputTokens <= engine.kvCapacityTokens * (1 - memoryReserve);
}

/** Cost of one member of a group, its part in the order included. */
double memberCost(const Choice &choice, const Engine &it, double part, bool isHelper)
{
    const double late = choice.lateness(choice.firstEventMs(it, part, isHelper)) * choice.worth;
    // Where several would be on time, the one that is free soonest is still the better one.
    const double wait = it.load->backlogMs / std::max<double>(1, static_cast<double>(choice.work.targetLeft.count()));
    constexpr double waitCost = 0.1;
    return choice.harm(it, part, isHelper) + late + choice.orderCost(it, part) + waitCost * choice.worth * wait;
}

/** The members of a group of `parts`: one that leads and holds the memory, and those that lose least by helping. */
std::optional<Plan> planGroup(const Choice &choice, std::size_t parts)
{
    const double part = choice.partMs(parts);
    const double need = choice.work.promptTokens + choice.work.outputTokens;
    const bool isSplitMemory = !choice.isHeldByOne();
    const double share = isSplitMemory ? std::ceil(need / static_cast<double>(parts)) : 0;
    struct Ranked
    {
        std::size_t index;
        double cost;
    };
    std::optional<Ranked> primary;
    for (std::size_t i = 0; i < choice.engines.size(); ++i) {
        const Engine &it = choice.engines[i];
        if (choice.canHold(it, isSplitMemory ? share : need)) {
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
        if (i != primary->index && (!isSplitMemory || choice.canHold(it, share))) {
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
    plan.ticketTokens = share;
    plan.members.push_back(primary->index);
    const Engine &lead = choice.engines[primary->index];
    plan.firstMs = choice.firstEventMs(lead, part, false);
    plan.cost = choice.harm(lead, part, false) + choice.orderCost(lead, part)
        + choice.parameters.helperCost * static_cast<double>(parts - 1) * choice.worth;
    for (std::size_t i = 0; i + 1 < parts; ++i) {
        const Engine &it = choice.engines[ranked[i].index];
        plan.members.push_back(ranked[i].index);
        plan.firstMs = std::max(plan.firstMs, choice.firstEventMs(it, part, true));
        plan.cost += choice.harm(it, part, true) + choice.orderCost(it, part) / static_cast<double>(parts);
    }
    plan.cost += choice.lateness(plan.firstMs) * choice.worth + choice.crowding(parts, part);
    return plan;
}

Decision refusal(Verdict verdict, const Choice &choice, double firstMs)
{
    Decision made;
    made.verdict = verdict;
    const double target = static_cast<double>(choice.work.targetLeft.count());
    const double wait = std::isfinite(firstMs) ? firstMs - target : target;
    const double longest = static_cast<double>(choice.work.timeLeft.count()) / 4;
    made.retryAfter = std::max(shortestReturn, Milliseconds(static_cast<std::int64_t>(std::clamp(wait, 0.0, longest))));
    made.predictedFirstEvent = Milliseconds(std::isfinite(firstMs) ? static_cast<std::int64_t>(firstMs) : 0);
    return made;
}

} // namespace

Decision chooseEngines(const catalogue::EngineModel &engine, const WorkEstimate &work,
    std::span<const Candidate> candidates, const std::unordered_map<UpstreamKey, PlacementLoad> &loads,
    const ChoiceParameters &parameters)
{
    static const PlacementLoad idle;
    Choice choice{engine, work, parameters, {}, worthOf(work.promptTokens, work.outputTokens),
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
    Plan best;
    for (const std::size_t parts : groupSizes) {
        if (parts > choice.engines.size() || parts > parameters.maxEngines) {
            break;
        }
        // A short read gains nothing by more engines, unless one cannot hold it.
        if (parts > 1 && choice.isHeldByOne() && choice.partMs(parts - 1) < parameters.longPrefillMs / 2) {
            break;
        }
        if (auto plan = planGroup(choice, parts); plan && plan->cost < best.cost) {
            best = std::move(*plan);
        }
    }
    if (best.members.empty()) {
        return refusal(Verdict::TooLarge, choice, best.firstMs);
    }
    if (best.firstMs >= static_cast<double>(work.timeLeft.count())) {
        return refusal(Verdict::TooLate, choice, best.firstMs);
    }
    // Engine time is worth what the requests are that come next.
    const double gain = work.isAlreadyLate ? parameters.secondRefusalLoss * choice.worth : choice.worth;
    if (best.cost + choice.timePrice() * choice.wholeReadMs > gain) {
        return refusal(Verdict::Crowded, choice, best.firstMs);
    }
    // A full fleet that answers late answers everyone late: those that can come back do so when answers have ended.
    const Engine &lead = choice.engines[best.members.front()];
    if (!work.isAlreadyLate && choice.waitingBefore(lead) > 0
        && best.firstMs > static_cast<double>(work.targetLeft.count())) {
        Decision refused = refusal(Verdict::Crowded, choice, best.firstMs);
        const double answer = work.outputTokens / std::max(engine.stepsPerPass, 1) * choice.passMs(lead);
        refused.retryAfter = std::max(refused.retryAfter, Milliseconds(static_cast<std::int64_t>(answer)));
        return refused;
    }
    Decision made;
    made.verdict = Verdict::Send;
    made.primary = choice.engines[best.members.front()].candidate->key;
    for (std::size_t i = 1; i < best.members.size(); ++i) {
        made.helpers.push_back(choice.engines[best.members[i]].candidate->key);
    }
    made.ticketTokens = best.ticketTokens;
    made.predictedFirstEvent = Milliseconds(static_cast<std::int64_t>(best.firstMs));
    return made;
}

} // namespace magnolia::placement
