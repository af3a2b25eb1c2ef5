// Admission as free functions over plain state: the decision at arrival, and learning from what became of it.
#pragma once

#include "admission/types/admission.h"
#include "admission/types/admissioncontext.h"
#include "admission/types/admissionstate.h"
#include "framework/global/error.h"
#include "framework/global/random.h"

namespace magnolia::admission
{

[[nodiscard]] CapacityPool poolOf(const routing::RoutingRequest &request);

/** Estimated cost: prompt and most generated tokens; 1 for a call of a plain service. */
[[nodiscard]] double estimatedCost(const routing::RoutingRequest &request);

/**
 * Admits the request and chooses its upstream, or refuses at once.
 *
 * Returns AdmissionTargetUnreachable where the class's targets cannot be met by prediction, AdmissionOverloaded where
 * the adaptive limit is reached, AdmissionOrganisationShare where capacity is short and the organisation is beyond
 * its max-min share, and the errors of routing::chooseUpstream; each `NotRun`, with a time to come back.
 */
[[nodiscard]] Result<Admission> admit(AdmissionState &state, const routing::RoutingRequest &request,
    const AdmissionContext &context, MonoTime now, Random &random);

/**
 * Chooses again after an attempt failed before anything of its answer was passed on. The request lists what it
 * tried. Returns AdmissionRetryBudget where retries are used up, else as `admit`.
 */
[[nodiscard]] Result<Admission> admitRetry(AdmissionState &state, const routing::RoutingRequest &request,
    const AdmissionContext &context, MonoTime now, Random &random);

/** The request was sent as the decision says. */
void onDispatched(AdmissionState &state, const routing::RoutingRequest &request,
    const routing::RoutingDecision &decision, MonoTime now);
void onFirstToken(AdmissionState &state, const RequestId &request, MonoTime now);
/** The whole answer was there, of `generated` tokens. */
void onFinished(AdmissionState &state, const RequestId &request, Tokens generated, MonoTime now);
/** Ended in any other way: broken, cancelled or out of time. */
void onFailed(AdmissionState &state, const RequestId &request, MonoTime now);

} // namespace magnolia::admission
