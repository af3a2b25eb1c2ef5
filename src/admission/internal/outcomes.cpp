// What became of admitted requests: own work, learned rates and the adaptive limit follow.
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

void adaptLimit(AdmissionState &state, const InFlightRequest &it, MonoTime now)
{
    if (poolOf(it.request) != CapacityPool::Short) {
        return;
    }
    ClassPrefillLimit &limit = state.targets[it.request.target].classes[it.request.classId];
    if (now > it.request.firstTokenDue) {
        limits::onTargetMissed(limit.limit, now);
    } else {
        limits::onTargetMet(limit.limit, static_cast<double>(limit.pending.count()));
    }
}

void learnFrom(AdmissionState &state, const InFlightRequest &it, MonoTime now)
{
    const routing::RoutingRequest &request = it.request;
    const UpstreamId &upstream = it.upstreams.front();
    const FractionalSeconds observed = now - it.dispatchedAt;
    const auto groupSize = static_cast<std::uint64_t>(it.upstreams.size());
    const bool isDelayTolerant
        = observing::isDelayTolerantPrompt(state.rates, request.prompt, request.firstTokenDue - request.arrivedAt);
    const observing::FirstTokenSample sample{upstream, request.target, Tokens(request.prompt.count() / groupSize),
        it.prefillAhead, poolOf(request) == CapacityPool::Long, isDelayTolerant, observed,
        FractionalSeconds(it.predictedFirstToken), request.firstTokenDue - request.arrivedAt};
    observing::learnFirstToken(state.rates, sample, now);
}

void noteLearned(AdmissionState &state, const InFlightRequest &it, MonoTime now)
{
    state.targets[it.request.target].probeStates[poolOf(it.request)].lastLearnedAt = now;
}

void endPending(AdmissionState &state, const InFlightRequest &it)
{
    if (!it.hasFirstToken && poolOf(it.request) == CapacityPool::Short) {
        state.targets[it.request.target].classes[it.request.classId].pending -= it.request.prompt;
    }
}

void removeOwnWork(AdmissionState &state, const InFlightRequest &it)
{
    endPending(state, it);
    for (const UpstreamId &upstream : it.upstreams) {
        observing::onEnded(state.ownWork, upstream, it.request.id);
    }
}

} // namespace

void onDispatched(AdmissionState &state, const routing::RoutingRequest &request,
    const routing::RoutingDecision &decision, MonoTime now)
{
    onFailed(state, request.id, now);
    InFlightRequest row{
        request, {}, now, {}, decision.predictedFirstToken, decision.prefillAhead, decision.requestsAhead, false};
    for (const routing::RankedUpstream &member : decision.group) {
        row.upstreams.push_back(member.upstream);
    }
    if (row.upstreams.empty()) {
        row.upstreams.push_back(decision.chosen.upstream);
    }
    const auto groupSize = static_cast<std::uint64_t>(row.upstreams.size());
    const Tokens memory = request.prompt + request.maxOutput;
    for (const UpstreamId &upstream : row.upstreams) {
        observing::onDispatched(state.ownWork, upstream,
            {request.id, now, Tokens(request.prompt.count() / groupSize), Tokens(memory.count() / groupSize),
                request.firstTokenDue, poolOf(request) == CapacityPool::Long, false});
    }
    if (poolOf(request) == CapacityPool::Short) {
        state.targets[request.target].classes[request.classId].pending += request.prompt;
    }
    state.inFlight.insert_or_assign(request.id, std::move(row));
}

void onFirstToken(AdmissionState &state, const RequestId &request, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end() || it->second.hasFirstToken) {
        return;
    }
    InFlightRequest &row = it->second;
    adaptLimit(state, row, now);
    endPending(state, row);
    row.hasFirstToken = true;
    row.firstTokenAt = now;
    for (const UpstreamId &upstream : row.upstreams) {
        observing::onFirstToken(state.ownWork, upstream, request);
    }
    if (row.request.kind == RequestKind::Model) {
        learnFrom(state, row, now);
        noteLearned(state, row, now);
    }
}

void onFinished(AdmissionState &state, const RequestId &request, Tokens generated, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end()) {
        return;
    }
    const InFlightRequest &row = it->second;
    const UpstreamId &upstream = row.upstreams.front();
    if (row.request.kind == RequestKind::Service) {
        const observing::ServiceSample sample{upstream, row.request.target, row.requestsAhead, now - row.dispatchedAt,
            FractionalSeconds(row.predictedFirstToken)};
        observing::learnService(state.rates, sample, now);
        noteLearned(state, row, now);
    } else if (row.hasFirstToken && generated.count() > 1) {
        const FractionalSeconds decode = now - row.firstTokenAt;
        observing::learnDecode(
            state.rates, upstream, row.request.target, decode / static_cast<double>(generated.count() - 1), now);
    }
    removeOwnWork(state, row);
    state.inFlight.erase(it);
}

void onFailed(AdmissionState &state, const RequestId &request, MonoTime now)
{
    const auto it = state.inFlight.find(request);
    if (it == state.inFlight.end()) {
        return;
    }
    const InFlightRequest &row = it->second;
    if (!row.hasFirstToken && now >= row.request.firstTokenDue && row.request.kind == RequestKind::Model) {
        // The first token would have come later still: what was seen is a lower bound, and it is a miss.
        adaptLimit(state, row, now + Milliseconds(1));
        learnFrom(state, row, now);
    }
    removeOwnWork(state, row);
    state.inFlight.erase(it);
}

} // namespace magnolia::admission
