// The policy itself: predictions that correct lagging reports, long prompts on their own engines, power of two
// choices (Mitzenmacher, 2001) among similar predictions, least slack first at the engine.
#include "routing/internal/policies.h"
#include "routing/longpromptengines.h"
#include "routing/prediction.h"

#include <algorithm>
#include <limits>

namespace magnolia::routing::internal
{

namespace
{

// Predictions within this of the best are alike: the facts are not better than that.
constexpr double similarFactor = 1.25;
constexpr double similarSeconds = 0.02;
// A step of the engine that carries a chunk of a long prefill takes about this many decode steps.
constexpr double chunkSteps = 2;
constexpr double otherDataCentreSeconds = 0.002;
// Share of the engines that organisations far beyond their share prefer, and how strongly they and others do.
constexpr double heavyEngineShare = 0.6;
constexpr double heavySeparationSeconds = 0.3;
constexpr double lightSeparationSeconds = 0.05;
// More long prefills at one engine than this finish no sooner and hold memory while they wait.
constexpr std::uint32_t mostLongPrefills = 2;
// A long prompt goes beyond the engines set aside once waiting there would take this share of its slack.
constexpr double spillShare = 0.5;
constexpr std::size_t mostAlternates = 8;
constexpr Milliseconds shortestMemoryWait{1000};

struct Scored
{
    const PublishedInstance *upstream = nullptr;
    Prediction prediction;
    double score = 0;
    bool takesLongPrompts = false;
};

double shortScore(const Scored &it, const observing::UpstreamRates &rates)
{
    double score = it.prediction.firstToken.count();
    const double chunk = rates.decodeInterval.count() * chunkSteps;
    if (it.prediction.load.longPrefillCount > 0) {
        score += chunk;
    }
    if (it.takesLongPrompts) {
        score += chunk / 2;
    }
    return score;
}

/** Organisations far beyond their share keep to the engines set aside for them, the others rather to the rest. */
double separationSeconds(bool isHeavyOrganisation, bool isHeavyEngine)
{
    if (isHeavyOrganisation == isHeavyEngine) {
        return 0;
    }
    return isHeavyOrganisation ? heavySeparationSeconds : lightSeparationSeconds;
}

std::vector<Scored> scoreAll(const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable,
    std::uint32_t groupSize, MonoTime now)
{
    const bool isModel = request.kind == RequestKind::Model;
    const bool isLong = isModel && observing::isLongPrompt(request.prompt);
    const std::vector<bool> members
        = rendezvousMembers(usable, request.target, isModel ? context.longPromptEngines.count : 0);
    const auto heavyCount = static_cast<std::uint32_t>(static_cast<double>(usable.size()) * heavyEngineShare);
    const std::vector<bool> heavy = rendezvousMembers(usable, request.target, heavyCount);
    std::vector<Scored> scored;
    scored.reserve(usable.size());
    for (std::size_t i = 0; i < usable.size(); ++i) {
        Scored it{usable[i], predict(request, *usable[i], groupSize, context, now), 0, members[i]};
        const observing::UpstreamRates rates
            = observing::ratesOf(*context.rates, UpstreamId(usable[i]->id), request.target, now);
        it.score = isLong || !isModel ? it.prediction.firstToken.count() : shortScore(it, rates);
        it.score += isModel && !isLong ? separationSeconds(request.isHeavyOrganisation, heavy[i]) : 0;
        it.score += usable[i]->dataCentre == context.ownDataCentre ? 0 : otherDataCentreSeconds;
        scored.push_back(it);
    }
    return scored;
}

void sortByScore(std::vector<Scored> &scored)
{
    std::sort(scored.begin(), scored.end(), [](const Scored &a, const Scored &b) {
        return a.score != b.score ? a.score < b.score : a.upstream->id < b.upstream->id;
    });
}

/** Moves the better of two random ones among the similar best to the front of the sorted candidates. */
void applyTwoChoices(std::vector<Scored> &sorted, Random &random)
{
    const double bound = sorted.front().score * similarFactor + similarSeconds;
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
bool canTakeLong(const Scored &it)
{
    return it.prediction.hasFreeMemory && it.prediction.load.longPrefillCount < mostLongPrefills;
}

/**
 * Engines for a long prompt: those set aside; others too once waiting there would use up the slack, if they have
 * time to spare, and as many of them as a group lacks.
 */
std::vector<Scored> longCandidates(const RoutingRequest &request, const RoutingContext &context,
    std::vector<Scored> scored, std::uint32_t groupSize, MonoTime now)
{
    const FractionalSeconds slack = request.firstTokenDue - now;
    std::erase_if(scored, [](const Scored &it) {
        return !canTakeLong(it);
    });
    const auto mayWaitThere = [&slack](const Scored &it) {
        return it.takesLongPrompts && it.prediction.firstToken < slack * spillShare;
    };
    const auto n = static_cast<std::uint32_t>(std::count_if(scored.begin(), scored.end(), mayWaitThere));
    if (n >= groupSize || (groupSize == 1 && !context.canSpillLongPrompts)) {
        std::erase_if(scored, [](const Scored &it) {
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

Milliseconds rounded(FractionalSeconds seconds)
{
    return std::chrono::duration_cast<Milliseconds>(seconds);
}

/** When as many engines as are needed will be through with what is queued there now. */
Milliseconds waitForMemory(const std::vector<Scored> &scored, std::uint32_t groupSize)
{
    std::vector<FractionalSeconds> waits;
    waits.reserve(scored.size());
    for (const Scored &it : scored) {
        waits.push_back(it.prediction.finish - it.prediction.unqueuedFirstToken);
    }
    std::sort(waits.begin(), waits.end());
    const std::size_t last = std::min<std::size_t>(groupSize, waits.size()) - 1;
    return std::max(shortestMemoryWait, rounded(waits[last]));
}

} // namespace

Result<RoutingDecision> chooseBySlack(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable, MonoTime now, Random &random)
{
    const bool isModel = request.kind == RequestKind::Model;
    const bool isLong = isModel && observing::isLongPrompt(request.prompt);
    const std::uint32_t groupSize = isModel ? enginesNeeded(request, usable.front()->memory) : 1;
    std::vector<Scored> scored = scoreAll(request, context, usable, groupSize, now);
    const Milliseconds memoryWait = waitForMemory(scored, groupSize);
    if (isLong) {
        scored = longCandidates(request, context, std::move(scored), groupSize, now);
    }
    if (scored.size() < groupSize) {
        auto error = makeError(groupSize > 1 ? ResultCode::MemoryGroupUnavailable : ResultCode::MemoryExhausted,
            std::to_string(groupSize) + " engines with memory needed, " + std::to_string(scored.size()) + " found");
        error.value().retryAfter = memoryWait;
        return error;
    }
    sortByScore(scored);
    if (groupSize == 1) {
        applyTwoChoices(scored, random);
    }
    std::vector<RankedUpstream> ranked;
    const std::size_t named = std::min<std::size_t>(scored.size(), groupSize + mostAlternates);
    ranked.reserve(named);
    for (std::size_t i = 0; i < named; ++i) {
        const Scored &it = scored[i];
        const Milliseconds age = it.prediction.load.hasReport ? it.prediction.load.reportAge : Milliseconds(-1);
        ranked.push_back({UpstreamId(it.upstream->id), it.upstream->address, it.score, age, it.takesLongPrompts});
    }
    auto decision = takeRanked(std::move(ranked), groupSize, request);
    if (!decision) {
        return decision;
    }
    // A group is as late as its latest member.
    const Prediction &prediction = scored[groupSize - 1].prediction;
    decision->priority = enginePriority(request, prediction, context, now);
    decision->predictedFirstToken = rounded(prediction.firstToken);
    decision->predictedFinish = rounded(prediction.finish);
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
