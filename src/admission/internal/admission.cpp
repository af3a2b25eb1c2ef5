// The decision on arrival: predicts, checks the targets, shares scarce capacity and chooses the upstream.
#include "admission/admission.h"

#include "admission/internal/fairness.h"
#include "limits/aimd.h"
#include "limits/backoff.h"
#include "limits/retries.h"
#include "observing/learning.h"
#include "observing/loadmerge.h"
#include "observing/ownwork.h"
#include "routing/longpromptengines.h"
#include "routing/prefixhints.h"
#include "routing/routing.h"

#include <algorithm>

namespace magnolia::admission
{

namespace
{

// A speed learned longer ago may have changed with the fleet.
constexpr Seconds learnedSpeedLifetime{30};
// Time in which an idle model or service admits at most one probe for each pool.
constexpr Seconds idleProbeInterval{5};

using observing::FractionalSeconds;
using routing::RoutingRequest;

// Above this utilisation, organisations above their max-min share are refused; the others are admitted up to the limit.
constexpr double fairShareUtilisation = 0.8;
constexpr double maxUtilisation = 1.0;
// In equal shares; the largest of a few unequal organisations stays below this in normal operation.
constexpr double heavyOrganisationShares = 4;
constexpr double longPredictionErrorShare = 0.3;
// The learned error counts for at most this share of the available time, so that an idle fleet never appears full.
constexpr double maxErrorShare = 0.4;
// One request is admitted this often regardless of the predictions, so that outdated learned values get corrected.
constexpr Seconds probeInterval{2};
// A fairness delay leaves at least half of the time until the first token is due.
constexpr int fairnessDelayDivisor = 2;
// Long prompts may use other engines only while short prompts use less than this share of the others' prefill rate.
constexpr double maxSpillUtilisation = 0.4;
constexpr Milliseconds shortRateWindow{2'000};
constexpr Milliseconds longRateWindow{30'000};
constexpr Seconds cleanupInterval{5};
constexpr Milliseconds maxRetryAfter{30'000};

double rateOf(const limits::DecayingSum &sum, MonoTime now, Milliseconds window)
{
    return limits::valueAt(sum, now, window) / std::chrono::duration<double>(window).count();
}

double entryCount(const AdmissionContext &context)
{
    const auto peerCount
        = std::count_if(context.membership->peers.begin(), context.membership->peers.end(), [](const auto &peer) {
              return peer.second.state == PeerState::Alive || peer.second.state == PeerState::Suspect;
          });
    return 1.0 + static_cast<double>(peerCount);
}

double upstreamCount(const AdmissionContext &context, const std::string &target)
{
    const auto count = std::count_if(
        context.list->instances.begin(), context.list->instances.end(), [&target](const PublishedInstance &it) {
            return it.role != InstanceRole::Entry && !it.isLeaving
                && std::find(it.serves.begin(), it.serves.end(), target) != it.serves.end();
        });
    return std::max(1.0, static_cast<double>(count));
}

const observing::UpstreamRates &ratesOfTarget(AdmissionState &state, const std::string &target)
{
    return state.rates.targets[target];
}

routing::RoutingContext routingContext(
    AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context, MonoTime now)
{
    TargetState &target = state.targets[request.target];
    const double entries = entryCount(context);
    const double upstreams = upstreamCount(context, request.target);
    const double shortRate = rateOf(target.shortTokens, now, shortRateWindow);
    if (request.kind == RequestKind::Model) {
        const routing::LongPromptDemand demand{rateOf(target.longTokens, now, longRateWindow) * entries,
            shortRate * entries, ratesOfTarget(state, request.target).longPrefillTokensPerSecond,
            static_cast<std::uint32_t>(upstreams)};
        routing::adjustLongPromptEngines(target.longPromptEngines, demand, now);
    }
    routing::RoutingContext result;
    result.list = context.list;
    result.load = context.load;
    result.health = context.health;
    result.membership = context.membership;
    result.ownWork = &state.ownWork;
    result.rates = &state.rates;
    result.prefixHints = &state.prefixHints;
    result.ownDataCentre = context.ownDataCentre;
    result.wallNow = context.wallNow;
    result.fleetLoad.meanQueuedPrefill = observing::meanQueuedPrefill(*context.load, now);
    result.fleetLoad.peerTokensPerSecond = shortRate * (entries - 1) / upstreams;
    result.longPromptEngines = target.longPromptEngines;
    const double otherEngines = std::max(1.0, upstreams - target.longPromptEngines.count);
    result.canSpillLongPrompts = shortRate * entries
        < otherEngines * ratesOfTarget(state, request.target).shortPrefillTokensPerSecond * maxSpillUtilisation;
    result.policy = state.parameters.policy;
    result.roundRobinCursor = state.roundRobinCursor++;
    return result;
}

tl::unexpected<Error> refuse(ResultCode code, std::string detail, Milliseconds earliest, Random &random)
{
    auto error = makeError(code, std::move(detail));
    error.value().retryAfter = limits::jitteredRetryAfter(std::min(earliest, maxRetryAfter), random);
    return error;
}

FractionalSeconds predictionError(
    const AdmissionState &state, const RoutingRequest &request, FractionalSeconds predicted)
{
    switch (poolOf(request)) {
    case CapacityPool::Short:
        return state.rates.firstTokenErrorP99;
    case CapacityPool::Service:
        return state.rates.serviceErrorP99;
    case CapacityPool::Long:
        break;
    }
    return predicted * longPredictionErrorShare;
}

/** Predicted over available time, the higher ratio of first token (with the learned error) and finish. */
double latencyUtilisation(
    const AdmissionState &state, const RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now)
{
    const FractionalSeconds predicted = decision.predictedFirstToken;
    const FractionalSeconds toFirst = request.firstTokenDue - now;
    const FractionalSeconds toFinish = request.finishDue - now;
    if (toFirst.count() <= 0 || toFinish.count() <= 0) {
        return maxUtilisation * 2;
    }
    const double first
        = (predicted + std::min(predictionError(state, request, predicted), toFirst * maxErrorShare)) / toFirst;
    const double finish = FractionalSeconds(decision.predictedFinish) / toFinish;
    return std::max(first, finish);
}

/**
 * Own pending prefill over the adaptive limit. The limit starts at twice this entry's equal part of what the fleet can
 * prefill within the target.
 */
double limitUtilisation(AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context)
{
    if (poolOf(request) != CapacityPool::Short) {
        return 0;
    }
    ClassPrefillLimit &classLimit = state.targets[request.target].classes[request.classId];
    const double rate = ratesOfTarget(state, request.target).shortPrefillTokensPerSecond;
    const FractionalSeconds firstTokenTarget = request.firstTokenDue - request.arrivedAt;
    const double equalPart
        = rate * upstreamCount(context, request.target) * firstTokenTarget.count() / entryCount(context);
    // Callers are spread unevenly over the entries, so an entry may use more than its equal part of the fleet.
    classLimit.limit.parameters.minLimit = equalPart * 0.4;
    classLimit.limit.parameters.maxLimit = equalPart * 4;
    limits::setLimit(classLimit.limit, classLimit.hasLimit ? classLimit.limit.limit : equalPart * 2);
    classLimit.hasLimit = true;
    const Tokens pending = classLimit.pending + request.prompt;
    return static_cast<double>(pending.count()) / classLimit.limit.limit;
}

/** Refuses organisations above their max-min share while capacity is short. */
Result<void> checkShare(
    AdmissionState &state, const RoutingRequest &request, double utilisation, MonoTime now, Random &random)
{
    if (utilisation <= fairShareUtilisation) {
        return {};
    }
    const CapacityPool pool = poolOf(request);
    const internal::PoolShares shares
        = internal::computePoolShares(state, request.organisation, pool, fairShareUtilisation / utilisation, now);
    // A single request never puts an organisation with little usage above its share.
    if (shares.ownUsage <= shares.maxMinLevel || internal::isWithinOneRequest(shares, pool, estimatedCost(request))) {
        return {};
    }
    return refuse(ResultCode::AdmissionOrganisationShare,
        request.organisation.value() + " is above its share of the capacity",
        internal::timeUntilLevel(shares.ownUsage, shares.longTermMaxMinLevel, pool), random);
}

/** Time until the queue has drained far enough to meet the target. */
Milliseconds drainTime(
    const RoutingRequest &request, const routing::RoutingDecision &decision, double utilisation, MonoTime now)
{
    const FractionalSeconds toFirst = std::max(FractionalSeconds(request.firstTokenDue - now), FractionalSeconds(0.1));
    const FractionalSeconds excess = toFirst * std::max(0.0, utilisation - fairShareUtilisation);
    return std::max(std::chrono::duration_cast<Milliseconds>(excess), decision.predictedFirstToken);
}

/**
 * Whether to admit this request as a probe although the predictions miss its targets: nothing is ahead of it and the
 * speed was not learned recently, so that the predictions rest on a prior. If such requests were refused, the speed
 * would never be learned. Records the probe.
 */
bool tryIdleProbe(
    AdmissionState &state, const RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now)
{
    if (decision.prefillAhead != Tokens(0) || decision.requestsAhead != 0 || now >= request.firstTokenDue) {
        return false;
    }
    ProbeState &probe = state.targets[request.target].probeStates[poolOf(request)];
    const bool isSpeedKnown = probe.lastLearnedAt && now - *probe.lastLearnedAt < learnedSpeedLifetime;
    const bool hasRecentProbe = probe.lastProbedAt && now - *probe.lastProbedAt < idleProbeInterval;
    if (isSpeedKnown || hasRecentProbe) {
        return false;
    }
    probe.lastProbedAt = now;
    return true;
}

void removeStaleState(AdmissionState &state, MonoTime now)
{
    if (now - state.lastCleanupAt < cleanupInterval) {
        return;
    }
    state.lastCleanupAt = now;
    observing::removeStaleUpstreams(state.rates, now);
    routing::removeExpiredHints(state.prefixHints, now);
    std::erase_if(state.organisations, [now](const auto &organisation) {
        return internal::isNegligible(organisation.second, now);
    });
}

/** Whether nothing was admitted for so long that the predictions may rest on outdated values. */
bool isPeriodicProbeDue(const AdmissionState &state, const RoutingRequest &request, MonoTime now)
{
    const auto it = state.targets.find(request.target);
    return poolOf(request) != CapacityPool::Long && it != state.targets.end()
        && now - it->second.lastAdmittedAt > probeInterval;
}

void recordDemand(AdmissionState &state, const RoutingRequest &request, MonoTime now)
{
    TargetState &target = state.targets[request.target];
    target.lastAdmittedAt = now;
    const auto cost = static_cast<double>(request.prompt.count());
    if (poolOf(request) == CapacityPool::Long) {
        limits::add(target.longTokens, cost, now, longRateWindow);
    } else {
        limits::add(target.shortTokens, cost, now, shortRateWindow);
    }
}

/** Checks that the targets can be met within the adaptive limit and the organisation's share. */
Result<void> checkCapacity(AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context,
    const routing::RoutingDecision &decision, double utilisation, MonoTime now, Random &random)
{
    if (isPeriodicProbeDue(state, request, now)) {
        return {};
    }
    const Milliseconds drain = drainTime(request, decision, utilisation, now);
    if (utilisation > maxUtilisation && tryIdleProbe(state, request, decision, now)) {
        return {};
    }
    if (utilisation > maxUtilisation) {
        return refuse(
            ResultCode::AdmissionTargetUnreachable, "predicted first token or finish is too late", drain, random);
    }
    const double pendingUtilisation = limitUtilisation(state, request, context);
    if (pendingUtilisation > maxUtilisation) {
        return refuse(
            ResultCode::AdmissionOverloaded, "the adaptive limit on pending prefill is reached", drain, random);
    }
    return checkShare(state, request, std::max(utilisation, pendingUtilisation), now, random);
}

Result<Admission> decide(
    AdmissionState &state, RoutingRequest request, const AdmissionContext &context, MonoTime now, Random &random)
{
    removeStaleState(state, now);
    const CapacityPool pool = poolOf(request);
    Admission admission;
    if (state.parameters.policy == routing::RoutingPolicy::SlackAware) {
        const internal::PoolShares shares = internal::computePoolShares(state, request.organisation, pool, 1, now);
        const Milliseconds maxDelay = toMilliseconds(request.firstTokenDue - now) / fairnessDelayDivisor;
        request.fairnessDelay = internal::fairnessDelayFor(shares, maxDelay);
        request.isHeavyOrganisation = internal::equalShareMultiple(shares) >= heavyOrganisationShares;
        admission.fairnessDelay = request.fairnessDelay;
    }
    auto decision = routing::chooseUpstream(request, routingContext(state, request, context, now), now, random);
    if (!decision) {
        Error error = decision.error();
        error.retryAfter = limits::jitteredRetryAfter(error.retryAfter.value_or(Milliseconds(0)), random);
        return tl::unexpected(std::move(error));
    }
    admission.utilisation = latencyUtilisation(state, request, *decision, now);
    if (state.parameters.canRefuse) {
        const auto allowed = checkCapacity(state, request, context, *decision, admission.utilisation, now, random);
        if (!allowed) {
            return tl::unexpected(allowed.error());
        }
    }
    admission.decision = std::move(*decision);
    recordDemand(state, request, now);
    internal::recordAdmitted(state, request.organisation, pool, estimatedCost(request), now);
    return admission;
}

} // namespace

CapacityPool poolOf(const RoutingRequest &request)
{
    if (request.kind == RequestKind::Service) {
        return CapacityPool::Service;
    }
    return observing::isLongPrompt(request.prompt) ? CapacityPool::Long : CapacityPool::Short;
}

double estimatedCost(const RoutingRequest &request)
{
    if (request.kind == RequestKind::Service) {
        return 1;
    }
    return static_cast<double>((request.prompt + request.maxOutput).count());
}

Result<Admission> admit(
    AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context, MonoTime now, Random &random)
{
    state.retryBudget.ratio = state.parameters.retryRatio;
    limits::onNewRequest(state.retryBudget);
    return decide(state, request, context, now, random);
}

Result<Admission> admitRetry(
    AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context, MonoTime now, Random &random)
{
    constexpr Milliseconds budgetRetryAfter{1000};
    if (!limits::takeRetry(state.retryBudget)) {
        return refuse(ResultCode::AdmissionRetryBudget, "the retry budget is used up", budgetRetryAfter, random);
    }
    return decide(state, request, context, now, random);
}

} // namespace magnolia::admission
