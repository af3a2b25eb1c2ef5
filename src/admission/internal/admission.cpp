// The decision at arrival: predict, test the targets, share what is short, choose.
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

/** A speed seen longer ago may have changed with the fleet. */
constexpr Seconds knowledgeLifetime{30};
/** One request at a time is let through to learn, for each model or service and pool. */
constexpr Seconds idleProbeInterval{5};

using observing::FractionalSeconds;
using routing::RoutingRequest;

// From this pressure on, organisations beyond their max-min share are refused; the others up to the limit.
constexpr double sharingPressure = 0.8;
constexpr double pressureLimit = 1.0;
// In equal shares; above what the largest of a few unequal organisations takes on an ordinary day.
constexpr double farBeyondShares = 4;
constexpr double longPredictionError = 0.3;
// The learned error may take this share of the time at most: an idle fleet must never look full.
constexpr double mostErrorShare = 0.4;
// One request is let through this often, whatever is predicted, so that what was learned can be unlearned.
constexpr Seconds probeInterval{2};
// A fairness delay leaves at least half of the time to the first token.
constexpr int fairnessDelayDivisor = 2;
// Long prompts go beyond their engines only while short ones keep the others less busy than this.
constexpr double spillUtilisation = 0.4;
constexpr Milliseconds rateWindow{2'000};
constexpr Milliseconds longRateWindow{30'000};
constexpr Seconds tidyInterval{5};
constexpr Milliseconds longestRetryAfter{30'000};

double rateOf(const limits::DecayingSum &sum, MonoTime now, Milliseconds window)
{
    return limits::valueAt(sum, now, window) / std::chrono::duration<double>(window).count();
}

double entryCount(const AdmissionContext &context)
{
    const auto n
        = std::count_if(context.membership->peers.begin(), context.membership->peers.end(), [](const auto &row) {
              return row.second.state == PeerState::Alive || row.second.state == PeerState::Suspect;
          });
    return 1.0 + static_cast<double>(n);
}

double upstreamCount(const AdmissionContext &context, const std::string &target)
{
    const auto n = std::count_if(
        context.list->instances.begin(), context.list->instances.end(), [&target](const PublishedInstance &it) {
            return it.role != InstanceRole::Entry && !it.isLeaving
                && std::find(it.serves.begin(), it.serves.end(), target) != it.serves.end();
        });
    return std::max(1.0, static_cast<double>(n));
}

const observing::UpstreamRates &targetRates(AdmissionState &state, const std::string &target)
{
    return state.rates.targets[target];
}

routing::RoutingContext routingContext(
    AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context, MonoTime now)
{
    TargetState &target = state.targets[request.target];
    const double entries = entryCount(context);
    const double upstreams = upstreamCount(context, request.target);
    const double shortRate = rateOf(target.shortTokens, now, rateWindow);
    if (request.kind == RequestKind::Model) {
        const routing::LongPromptDemand demand{rateOf(target.longTokens, now, longRateWindow) * entries,
            shortRate * entries, targetRates(state, request.target).longPrefillTokensPerSecond,
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
    const double others = std::max(1.0, upstreams - target.longPromptEngines.count);
    result.canSpillLongPrompts = shortRate * entries
        < others * targetRates(state, request.target).shortPrefillTokensPerSecond * spillUtilisation;
    result.policy = state.parameters.policy;
    result.roundRobinCursor = state.roundRobinCursor++;
    return result;
}

tl::unexpected<Error> refuse(ResultCode code, std::string detail, Milliseconds earliest, Random &random)
{
    auto error = makeError(code, std::move(detail));
    error.value().retryAfter = limits::jitteredRetryAfter(std::min(earliest, longestRetryAfter), random);
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
    return predicted * longPredictionError;
}

/** Predicted over available time, the worse of first token and finish, with the learned error. */
double targetPressure(
    const AdmissionState &state, const RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now)
{
    const FractionalSeconds predicted = decision.predictedFirstToken;
    const FractionalSeconds toFirst = request.firstTokenDue - now;
    const FractionalSeconds toFinish = request.finishDue - now;
    if (toFirst.count() <= 0 || toFinish.count() <= 0) {
        return pressureLimit * 2;
    }
    const double first
        = (predicted + std::min(predictionError(state, request, predicted), toFirst * mostErrorShare)) / toFirst;
    const double finish = FractionalSeconds(decision.predictedFinish) / toFinish;
    return std::max(first, finish);
}

/** Own pending prefill over the adaptive limit, which starts at what the fleet can prefill within the target. */
double limitPressure(AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context)
{
    if (poolOf(request) != CapacityPool::Short) {
        return 0;
    }
    ClassPrefillLimit &row = state.targets[request.target].classes[request.classId];
    const double rate = targetRates(state, request.target).shortPrefillTokensPerSecond;
    const FractionalSeconds span = request.firstTokenDue - request.arrivedAt;
    const double fleet = rate * upstreamCount(context, request.target) * span.count() / entryCount(context);
    // Callers spread unevenly over the entries, so an entry may use more than an equal part of the fleet.
    row.limit.parameters.minLimit = fleet * 0.4;
    row.limit.parameters.maxLimit = fleet * 4;
    limits::setLimit(row.limit, row.hasLimit ? row.limit.limit : fleet * 2);
    row.hasLimit = true;
    const Tokens pending = row.pending + request.prompt;
    return static_cast<double>(pending.count()) / row.limit.limit;
}

/** Refuses what is beyond its max-min share while capacity is short. */
Result<void> checkShare(
    AdmissionState &state, const RoutingRequest &request, double pressure, MonoTime now, Random &random)
{
    if (pressure <= sharingPressure) {
        return {};
    }
    const CapacityPool pool = poolOf(request);
    const internal::ShareView view
        = internal::viewShares(state, request.organisation, pool, sharingPressure / pressure, now);
    // An organisation with little use is never beyond its share by one request alone.
    if (view.own <= view.level || internal::isOneRequest(view, pool, estimatedCost(request))) {
        return {};
    }
    return refuse(ResultCode::AdmissionOrganisationShare, request.organisation.value() + " is beyond its share",
        internal::timeUntilLevel(view.own, view.lastingLevel, pool), random);
}

/** How long the queue needs to drain to where the target can be met. */
Milliseconds drainTime(
    const RoutingRequest &request, const routing::RoutingDecision &decision, double pressure, MonoTime now)
{
    const FractionalSeconds toFirst = std::max(FractionalSeconds(request.firstTokenDue - now), FractionalSeconds(0.1));
    const FractionalSeconds excess = toFirst * std::max(0.0, pressure - sharingPressure);
    return std::max(std::chrono::duration_cast<Milliseconds>(excess), decision.predictedFirstToken);
}

/**
 * Whether this request is let through although its targets look out of reach: nothing is ahead of it and nobody has
 * seen the speed lately, so that the prediction rests on a prior. Refusing then would mean never to learn.
 */
bool takeProbe(
    AdmissionState &state, const RoutingRequest &request, const routing::RoutingDecision &decision, MonoTime now)
{
    if (decision.prefillAhead != Tokens(0) || decision.requestsAhead != 0 || now >= request.firstTokenDue) {
        return false;
    }
    ProbeState &probe = state.targets[request.target].probeStates[poolOf(request)];
    const bool isKnown = probe.lastLearnedAt && now - *probe.lastLearnedAt < knowledgeLifetime;
    const bool isUnderWay = probe.lastProbedAt && now - *probe.lastProbedAt < idleProbeInterval;
    if (isKnown || isUnderWay) {
        return false;
    }
    probe.lastProbedAt = now;
    return true;
}

void tidy(AdmissionState &state, MonoTime now)
{
    if (now - state.lastCleanupAt < tidyInterval) {
        return;
    }
    state.lastCleanupAt = now;
    observing::removeStaleUpstreams(state.rates, now);
    routing::removeExpiredHints(state.prefixHints, now);
    std::erase_if(state.organisations, [now](const auto &row) {
        return internal::isForgotten(row.second, now);
    });
}

/** Whether nothing was admitted for so long that predictions may stand on what is no longer so. */
bool mayProbe(const AdmissionState &state, const RoutingRequest &request, MonoTime now)
{
    const auto it = state.targets.find(request.target);
    return poolOf(request) != CapacityPool::Long && it != state.targets.end()
        && now - it->second.lastAdmittedAt > probeInterval;
}

void noteDemand(AdmissionState &state, const RoutingRequest &request, MonoTime now)
{
    TargetState &target = state.targets[request.target];
    target.lastAdmittedAt = now;
    const auto cost = static_cast<double>(request.prompt.count());
    if (poolOf(request) == CapacityPool::Long) {
        limits::add(target.longTokens, cost, now, longRateWindow);
    } else {
        limits::add(target.shortTokens, cost, now, rateWindow);
    }
}

/** Whether the targets can be met, within the adaptive limit and the organisation's share. */
Result<void> checkTargets(AdmissionState &state, const RoutingRequest &request, const AdmissionContext &context,
    const routing::RoutingDecision &decision, double pressure, MonoTime now, Random &random)
{
    if (mayProbe(state, request, now)) {
        return {};
    }
    const Milliseconds drain = drainTime(request, decision, pressure, now);
    if (pressure > pressureLimit && takeProbe(state, request, decision, now)) {
        return {};
    }
    if (pressure > pressureLimit) {
        return refuse(
            ResultCode::AdmissionTargetUnreachable, "predicted first token or finish is too late", drain, random);
    }
    const double limit = limitPressure(state, request, context);
    if (limit > pressureLimit) {
        return refuse(ResultCode::AdmissionOverloaded, "the adaptive limit is reached", drain, random);
    }
    return checkShare(state, request, std::max(pressure, limit), now, random);
}

Result<Admission> decide(
    AdmissionState &state, RoutingRequest request, const AdmissionContext &context, MonoTime now, Random &random)
{
    tidy(state, now);
    const CapacityPool pool = poolOf(request);
    Admission admission;
    if (state.parameters.policy == routing::RoutingPolicy::SlackAware) {
        const internal::ShareView view = internal::viewShares(state, request.organisation, pool, 1, now);
        const Milliseconds most = toMilliseconds(request.firstTokenDue - now) / fairnessDelayDivisor;
        request.fairnessDelay = internal::delayBeyondShare(view, most);
        request.isHeavyOrganisation = internal::equalShares(view) >= farBeyondShares;
        admission.fairnessDelay = request.fairnessDelay;
    }
    auto decision = routing::chooseUpstream(request, routingContext(state, request, context, now), now, random);
    if (!decision) {
        Error error = decision.error();
        error.retryAfter = limits::jitteredRetryAfter(error.retryAfter.value_or(Milliseconds(0)), random);
        return tl::unexpected(std::move(error));
    }
    admission.utilisation = targetPressure(state, request, *decision, now);
    if (state.parameters.canRefuse) {
        const auto allowed = checkTargets(state, request, context, *decision, admission.utilisation, now, random);
        if (!allowed) {
            return tl::unexpected(allowed.error());
        }
    }
    admission.decision = std::move(*decision);
    noteDemand(state, request, now);
    internal::noteAdmitted(state, request.organisation, pool, estimatedCost(request), now);
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
