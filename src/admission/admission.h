// Admission as free functions on plain state: the decision on arrival, and learning from the outcome.
#pragma once

#include "admission/types/admission.h"
#include "admission/types/admissioncontext.h"
#include "admission/types/admissionstate.h"
#include "framework/global/error.h"
#include "framework/global/random.h"

namespace magnolia::admission
{

[[nodiscard]] CapacityPool poolOf(const routing::RoutingRequest &request);

/** Estimated cost in tokens: prompt plus maximum output; 1 for a call of a plain service. */
[[nodiscard]] double estimatedCost(const routing::RoutingRequest &request);

/**
 * Admits the request and chooses its upstream, or refuses it at once.
 *
 * Returns AdmissionTargetUnreachable if the predictions miss the targets of the class, AdmissionOverloaded if the
 * adaptive limit is reached, AdmissionOrganisationShare if capacity is short and the organisation is above its max-min
 * share, and the errors of routing::chooseUpstream; each is `NotRun` and has a retry-after time.
 */
[[nodiscard]] Result<Admission> admit(AdmissionState &state, const routing::RoutingRequest &request,
    const AdmissionContext &context, MonoTime now, Random &random);

/**
 * Chooses another upstream after an attempt failed before any part of its answer was passed on.
 * `request.triedUpstreams` lists the upstreams of earlier attempts. Returns AdmissionRetryBudget if the retry budget
 * is used up, otherwise the errors of `admit`.
 */
[[nodiscard]] Result<Admission> admitRetry(AdmissionState &state, const routing::RoutingRequest &request,
    const AdmissionContext &context, MonoTime now, Random &random);

/** The request was sent according to the decision. */
void onDispatched(AdmissionState &state, const routing::RoutingRequest &request,
    const routing::RoutingDecision &decision, MonoTime now);
void onFirstToken(AdmissionState &state, const RequestId &request, MonoTime now);
/** The whole answer of `generated` tokens has arrived. */
void onFinished(AdmissionState &state, const RequestId &request, Tokens generated, MonoTime now);
/** The attempt ended in any other way: broken off, cancelled or timed out. */
void onFailed(AdmissionState &state, const RequestId &request, MonoTime now);

} // namespace magnolia::admission
