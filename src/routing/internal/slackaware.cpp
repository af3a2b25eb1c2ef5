// The slack-aware policy: predictions that correct delayed load reports, separate engines for long prompts, power of
// two choices (Mitzenmacher, 2001) among similar predictions, and least slack first as the engine's priority.
#include "routing/internal/policies.h"
#include "routing/longpromptengines.h"
#include "routing/prediction.h"

#include <algorithm>
#include <limits>

namespace magnolia::routing::internal
{

namespace
{

// Scores within this factor and offset of the best are treated as equal; load data is not more accurate than that.
constexpr double similarScoreFactor = 1.25;
constexpr double similarScoreSeconds = 0.02;
// An engine step with a chunk of a long prefill takes about as long as this many decode steps.
constexpr double chunkDecodeSteps = 2;
constexpr double otherDataCentrePenaltySeconds = 0.002;
// Share of the engines that heavy organisations prefer, and the penalties that keep heavy organisations on these
// engines and other organisations off them.
constexpr double heavyEngineShare = 0.6;
constexpr double heavyPenaltySeconds = 0.3;
constexpr double lightPenaltySeconds = 0.05;
// Additional long prefills at one engine would finish no sooner and hold memory while they wait.
constexpr std::uint32_t maxLongPrefills = 2;
// A long prompt may use engines not set aside for long prompts once waiting would take this share of its slack.
constexpr double spillSlackShare = 0.5;
constexpr std::size_t maxAlternates = 8;
constexpr Milliseconds minMemoryWait{1000};

struct ScoredUpstream
{
    const PublishedInstance *upstream = nullptr;
    Prediction prediction;
    double score = 0;
    bool takesLongPrompts = false;
};

double shortPromptScore(const ScoredUpstream &it, const observing::UpstreamRates &rates)
{
    double score = it.prediction.firstToken.count();
    const double chunk = rates.decodeInterval.count() * chunkDecodeSteps;
    if (it.prediction.load.longPrefillCount > 0) {
        score += chunk;
    }
    if (it.takesLongPrompts) {
        score += chunk / 2;
    }
    return score;
}

/** Keeps heavy organisations on the engines set aside for them, and the others, more weakly, off these. */
double separationPenaltySeconds(bool isHeavyOrganisation, bool isHeavyEngine)
{
    if (isHeavyOrganisation == isHeavyEngine) {
        return 0;
    }
    return isHeavyOrganisation ? heavyPenaltySeconds : lightPenaltySeconds;
}

std::vector<ScoredUpstream> scoreAll(const RoutingRequest &request, const RoutingContext &context,
    const Upstreams &usable, std::uint32_t groupSize, MonoTime now)
{
    const bool isModel = request.kind == RequestKind::Model;
    const bool isLong = isModel && observing::isLongPrompt(request.prompt);
    const std::vector<bool> members
        = rendezvousMembers(usable, request.target, isModel ? context.longPromptEngines.count : 0);
    const auto heavyCount = static_cast<std::uint32_t>(static_cast<double>(usable.size()) * heavyEngineShare);
    const std::vector<bool> heavy = rendezvousMembers(usable, request.target, heavyCount);
    std::vector<ScoredUpstream> scored;
    scored.reserve(usable.size());
    for (std::size_t i = 0; i < usable.size(); ++i) {
        ScoredUpstream it{usable[i], predict(request, *usable[i], groupSize, context, now), 0, members[i]};
        const observing::UpstreamRates rates
            = observing::ratesOf(*context.rates, UpstreamId(usable[i]->id), request.target, now);
        it.score = isLong || !isModel ? it.prediction.firstToken.count() : shortPromptScore(it, rates);
        it.score += isModel && !isLong ? separationPenaltySeconds(request.isHeavyOrganisation, heavy[i]) : 0;
        it.score += usable[i]->dataCentre == context.ownDataCentre ? 0 : otherDataCentrePenaltySeconds;
        scored.push_back(it);
    }
    return scored;
}

void sortByScore(std::vector<ScoredUpstream> &scored)
{
    std::sort(scored.begin(), scored.end(), [](const ScoredUpstream &a, const ScoredUpstream &b) {
        return a.score != b.score ? a.score < b.score : a.upstream->id < b.upstream->id;
    });
}

/** Moves the better of two random candidates, among those with a score similar to the best, to the front. */
void applyTwoChoices(std::vector<ScoredUpstream> &sorted, Random &random)
{
    const double bound = sorted.front().score * similarScoreFactor + similarScoreSeconds;
    std::size_t similar = 1;
    while (similar < sorted.size() && sorted[similar].score <= bound) {
        ++similar;
    }
    if (similar < 2) {
        return;
    }
    const std::size_t first = random.below(similar);
    std::size_t second = random.below(similar - 1);
    second += second >= first ? 1 : 0;
    std::rotate(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(std::min(first, second)),
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(first, second)) + 1);
}

/** Whether the engine may take one more long prefill. */
bool canTakeLongPrompt(const ScoredUpstream &it)
{
    return it.prediction.hasFreeMemory && it.prediction.load.longPrefillCount < maxLongPrefills;
}

/**
 * Engines for a long prompt: those set aside for long prompts. Other engines are added once waiting at the former
 * would use too much of the slack, if the others have spare capacity or the prompt needs a group.
 */
std::vector<ScoredUpstream> longPromptCandidates(const RoutingRequest &request, const RoutingContext &context,
    std::vector<ScoredUpstream> scored, std::uint32_t groupSize, MonoTime now)
{
    const FractionalSeconds slack = request.firstTokenDue - now;
    std::erase_if(scored, [](const ScoredUpstream &it) {
        return !canTakeLongPrompt(it);
    });
    const auto canWaitThere = [&slack](const ScoredUpstream &it) {
        return it.takesLongPrompts && it.prediction.firstToken < slack * spillSlackShare;
    };
    const auto acceptableCount = static_cast<std::uint32_t>(std::count_if(scored.begin(), scored.end(), canWaitThere));
    if (acceptableCount >= groupSize || (groupSize == 1 && !context.canSpillLongPrompts)) {
        std::erase_if(scored, [](const ScoredUpstream &it) {
            return !it.takesLongPrompts;
        });
    }
    return scored;
}

std::int64_t enginePriority(
    const RoutingRequest &request, const Prediction &prediction, const RoutingContext &context, MonoTime now)
{
    const FractionalSeconds toFirst = FractionalSeconds(request.firstTokenDue - now) - prediction.unqueuedFirstToken;
    const FractionalSeconds toFinish = FractionalSeconds(request.finishDue - now) - prediction.unqueuedFinish;
    const auto slack = std::chrono::duration_cast<Milliseconds>(std::min(toFirst, toFinish));
    return (context.wallNow.time_since_epoch() + slack + request.fairnessDelay).count();
}

Milliseconds truncatedToMilliseconds(FractionalSeconds seconds)
{
    return std::chrono::duration_cast<Milliseconds>(seconds);
}

/** Time until `groupSize` engines have finished what is queued there now. */
Milliseconds waitForMemory(const std::vector<ScoredUpstream> &scored, std::uint32_t groupSize)
{
    std::vector<FractionalSeconds> waits;
    waits.reserve(scored.size());
    for (const ScoredUpstream &it : scored) {
        waits.push_back(it.prediction.finish - it.prediction.unqueuedFirstToken);
    }
    std::sort(waits.begin(), waits.end());
    const std::size_t last = std::min<std::size_t>(groupSize, waits.size()) - 1;
    return std::max(minMemoryWait, truncatedToMilliseconds(waits[last]));
}

} // namespace

Result<RoutingDecision> chooseBySlack(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable, MonoTime now, Random &random)
{
    const bool isModel = request.kind == RequestKind::Model;
    const bool isLong = isModel && observing::isLongPrompt(request.prompt);
    const std::uint32_t groupSize = isModel ? enginesNeeded(request, usable.front()->memory) : 1;
    std::vector<ScoredUpstream> scored = scoreAll(request, context, usable, groupSize, now);
    const Milliseconds memoryWait = waitForMemory(scored, groupSize);
    if (isLong) {
        scored = longPromptCandidates(request, context, std::move(scored), groupSize, now);
    }
    if (scored.size() < groupSize) {
        auto error = makeError(groupSize > 1 ? ResultCode::MemoryGroupUnavailable : ResultCode::MemoryExhausted,
            std::to_string(groupSize) + " engines with free memory needed for the prompt, "
                + std::to_string(scored.size()) + " found");
        error.value().retryAfter = memoryWait;
        return error;
    }
    sortByScore(scored);
    if (groupSize == 1) {
        applyTwoChoices(scored, random);
    }
    std::vector<RankedUpstream> ranked;
    const std::size_t rankedCount = std::min<std::size_t>(scored.size(), groupSize + maxAlternates);
    ranked.reserve(rankedCount);
    for (std::size_t i = 0; i < rankedCount; ++i) {
        const ScoredUpstream &it = scored[i];
        const Milliseconds age = it.prediction.load.hasReport ? it.prediction.load.reportAge : Milliseconds(-1);
        ranked.push_back({UpstreamId(it.upstream->id), it.upstream->address, it.score, age, it.takesLongPrompts});
    }
    auto decision = decisionFromRanking(std::move(ranked), groupSize, request);
    if (!decision) {
        return decision;
    }
    // A group is as slow as its slowest member.
    const Prediction &prediction = scored[groupSize - 1].prediction;
    decision->priority = enginePriority(request, prediction, context, now);
    decision->predictedFirstToken = truncatedToMilliseconds(prediction.firstToken);
    decision->predictedFinish = truncatedToMilliseconds(prediction.finish);
    decision->prefillAhead = prediction.prefillAhead;
    decision->requestsAhead = prediction.load.requestCount;
    decision->candidateCount = static_cast<std::uint32_t>(scored.size());
    decision->listAge = toMilliseconds(now - context.list->readAt);
    decision->reason = groupSize > 1
        ? "group"
        : (isLong ? (decision->chosen.takesLongPrompts ? "long" : "long-spill") : "two-choices");
    return decision;
}

} // namespace magnolia::routing::internal
