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

void adaptLimit(AdmissionState &state, const RequestInFlight &it, MonoTime now)
{
    if (poolOf(it.request) != Pool::Short) {
        return;
    }
    ClassLimit &limit = state.targets[it.request.target].classes[it.request.classId];
    if (now > it.request.firstTokenBy) {
        limits::onTargetMissed(limit.limit, now);
    } else {
        limits::onTargetMet(limit.limit, static_cast<double>(limit.pending.count()));
    }
}

void learnFrom(AdmissionState &state, const RequestInFlight &it, MonoTime now)
{
    const routing::RoutingRequest &request = it.request;
    const UpstreamId &upstream = it.upstreams.front();
    const FractionalSeconds observed = now - it.dispatchedAt;
    const auto parts = static_cast<std::uint64_t>(it.upstreams.size());
    const bool isPatient
        = observing::isPatientPrompt(state.rates, request.prompt, request.firstTokenBy - request.arrived);
    const observing::FirstTokenSample sample{upstream, request.target, Tokens(request.prompt.count() / parts), it.ahead,
        poolOf(request) == Pool::Long, isPatient, observed, FractionalSeconds(it.predictedFirstToken),
        request.firstTokenBy - request.arrived};
    observing::learnFirstToken(state.rates, sample, now);
}

void noteLearned(AdmissionState &state, const RequestInFlight &it, MonoTime now)
{
    state.targets[it.request.target].knowledge[poolOf(it.request)].learnedAt = now;
}

void endPending(AdmissionState &state, const RequestInFlight &it)
{
    if (!it.hasFirstToken && poolOf(it.request) == Pool::Short) {
        state.targets[it.request.target].classes[it.request.classId].pending -= it.request.prompt;
    }
}

void removeOwnWork(AdmissionState &state, const RequestInFlight &it)
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
    RequestInFlight row{
        request, {}, now, {}, decision.predictedFirstToken, decision.ahead, decision.requestsAhead, false};
    for (const routing::RankedUpstream &member : decision.group) {
        row.upstreams.push_back(member.upstream);
    }
    if (row.upstreams.empty()) {
        row.upstreams.push_back(decision.chosen.upstream);
    }
    const auto parts = static_cast<std::uint64_t>(row.upstreams.size());
    const Tokens memory = request.prompt + request.maxOutput;
    for (const UpstreamId &upstream : row.upstreams) {
        observing::onDispatched(state.ownWork, upstream,
            {request.id, now, Tokens(request.prompt.count() / parts), Tokens(memory.count() / parts),
                request.firstTokenBy, poolOf(request) == Pool::Long, false});
    }
    if (poolOf(request) == Pool::Short) {
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
    RequestInFlight &row = it->second;
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
    const RequestInFlight &row = it->second;
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
    const RequestInFlight &row = it->second;
    if (!row.hasFirstToken && now >= row.request.firstTokenBy && row.request.kind == RequestKind::Model) {
        // The first token would have come later still: what was seen is a lower bound, and it is a miss.
        adaptLimit(state, row, now + Milliseconds(1));
        learnFrom(state, row, now);
    }
    removeOwnWork(state, row);
    state.inFlight.erase(it);
}

} // namespace magnolia::admission
