// Updates own work, learned rates and the adaptive limit with the outcomes of admitted requests.
#include "admission/admission.h"
#include "limits/aimd.h"
#include "observing/learning.h"
#include "observing/ownwork.h"
#include "routing/prefixhints.h"

namespace magnolia::admission
{

namespace
{

using observing::FractionalSeconds;

void updateLimit(AdmissionState &state, const InFlightRequest &inFlight, MonoTime now)
{
    if (poolOf(inFlight.request) != CapacityPool::Short) {
        return;
    }
    ClassPrefillLimit &limit = state.targets[inFlight.request.target].classes[inFlight.request.classId];
    if (now > inFlight.request.firstTokenDue) {
        limits::onTargetMissed(limit.limit, now);
    } else {
        limits::onTargetMet(limit.limit, static_cast<double>(limit.pending.count()));
    }
}

void learnFirstTokenOf(AdmissionState &state, const InFlightRequest &inFlight, MonoTime now)
{
    const routing::RoutingRequest &request = inFlight.request;
    const UpstreamId &upstream = inFlight.upstreams.front();
    const FractionalSeconds observed = now - inFlight.dispatchedAt;
    const auto groupSize = static_cast<std::uint64_t>(inFlight.upstreams.size());
    const bool isDelayTolerant
        = observing::isDelayTolerantPrompt(state.rates, request.prompt, request.firstTokenDue - request.arrivedAt);
    const observing::FirstTokenSample sample{upstream, request.target, Tokens(request.prompt.count() / groupSize),
        inFlight.prefillAhead, poolOf(request) == CapacityPool::Long, isDelayTolerant, observed,
        FractionalSeconds(inFlight.predictedFirstToken), request.firstTokenDue - request.arrivedAt};
    observing::learnFirstToken(state.rates, sample, now);
}

void recordLearned(AdmissionState &state, const InFlightRequest &inFlight, MonoTime now)
{
    state.targets[inFlight.request.target].probeStates[poolOf(inFlight.request)].lastLearnedAt = now;
}

void removePendingPrefill(AdmissionState &state, const InFlightRequest &inFlight)
{
    if (!inFlight.hasFirstToken && poolOf(inFlight.request) == CapacityPool::Short) {
        state.targets[inFlight.request.target].classes[inFlight.request.classId].pending -= inFlight.request.prompt;
    }
}

void removeOwnWork(AdmissionState &state, const InFlightRequest &inFlight)
{
    removePendingPrefill(state, inFlight);
    for (const UpstreamId &upstream : inFlight.upstreams) {
        observing::onEnded(state.ownWork, upstream, inFlight.request.id);
    }
}

} // namespace

void onDispatched(AdmissionState &state, const routing::RoutingRequest &request,
    const routing::RoutingDecision &decision, MonoTime now)
{
    onFailed(state, request.id, now);
    InFlightRequest inFlight{
        request, {}, now, {}, decision.predictedFirstToken, decision.prefillAhead, decision.requestsAhead, false};
    for (const routing::RankedUpstream &member : decision.group) {
        inFlight.upstreams.push_back(member.upstream);
    }
    if (inFlight.upstreams.empty()) {
        inFlight.upstreams.push_back(decision.chosen.upstream);
    }
    const auto groupSize = static_cast<std::uint64_t>(inFlight.upstreams.size());
    const Tokens memory = request.prompt + request.maxOutput;
    for (const UpstreamId &upstream : inFlight.upstreams) {
        observing::onDispatched(state.ownWork, upstream,
            {request.id, now, Tokens(request.prompt.count() / groupSize), Tokens(memory.count() / groupSize),
                request.firstTokenDue, poolOf(request) == CapacityPool::Long, false});
    }
    if (poolOf(request) == CapacityPool::Short) {
        state.targets[request.target].classes[request.classId].pending += request.prompt;
    }
    state.inFlight.insert_or_assign(request.id, std::move(inFlight));
}

void onFirstToken(AdmissionState &state, const RequestId &request, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end() || it->second.hasFirstToken) {
        return;
    }
    InFlightRequest &inFlight = it->second;
    updateLimit(state, inFlight, now);
    removePendingPrefill(state, inFlight);
    inFlight.hasFirstToken = true;
    inFlight.firstTokenAt = now;
    for (const UpstreamId &upstream : inFlight.upstreams) {
        observing::onFirstToken(state.ownWork, upstream, request);
    }
    if (inFlight.request.kind == RequestKind::Model) {
        learnFirstTokenOf(state, inFlight, now);
        recordLearned(state, inFlight, now);
    }
}

void onFinished(AdmissionState &state, const RequestId &request, Tokens generated, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end()) {
        return;
    }
    const InFlightRequest &inFlight = it->second;
    const UpstreamId &upstream = inFlight.upstreams.front();
    if (inFlight.request.kind == RequestKind::Service) {
        const observing::ServiceSample sample{upstream, inFlight.request.target, inFlight.requestsAhead,
            now - inFlight.dispatchedAt, FractionalSeconds(inFlight.predictedFirstToken)};
        observing::learnService(state.rates, sample, now);
        recordLearned(state, inFlight, now);
    } else if (inFlight.hasFirstToken && generated.count() > 1) {
        const FractionalSeconds decode = now - inFlight.firstTokenAt;
        observing::learnDecode(
            state.rates, upstream, inFlight.request.target, decode / static_cast<double>(generated.count() - 1), now);
    }
    removeOwnWork(state, inFlight);
    state.inFlight.erase(it);
}

void onFailed(AdmissionState &state, const RequestId &request, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end()) {
        return;
    }
    const InFlightRequest &inFlight = it->second;
    if (!inFlight.hasFirstToken && now >= inFlight.request.firstTokenDue
        && inFlight.request.kind == RequestKind::Model) {
        // The first token would have come even later: the elapsed time is a lower bound, and the target is missed.
        updateLimit(state, inFlight, now + Milliseconds(1));
        learnFirstTokenOf(state, inFlight, now);
    }
    removeOwnWork(state, inFlight);
    state.inFlight.erase(it);
}

} // namespace magnolia::admission
