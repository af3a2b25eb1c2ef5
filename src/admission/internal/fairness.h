// Max-min fairness between organisations over what each was admitted lately.
#pragma once

#include "admission/types/admissionstate.h"

#include <optional>

namespace magnolia::admission::internal
{

/** Use of one pool by all organisations, and of the one that asks, in estimated cost a second. */
struct ShareView
{
    /** Recent use of the one that asks. */
    double own = 0;
    double total = 0;
    /** Organisations with a use that matters. */
    double active = 0;
    /** Max-min level if `capacity` times the total were served; infinite where all fit. */
    double level = 0;
    /** The same level from lasting use alone: where the level goes once the recent use has faded. */
    double lastingLevel = 0;
};

/** `capacity` is a share of the total use. */
[[nodiscard]] ShareView viewShares(
    const AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double capacity, MonoTime now);

void noteAdmitted(
    AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double cost, MonoTime now);

/** Whether nothing is left that matters. */
[[nodiscard]] bool isForgotten(const OrganisationUsage &use, MonoTime now);

/** Whether the organisation's use is no more than one request of this cost. */
[[nodiscard]] bool isOneRequest(const ShareView &view, CapacityPool pool, double cost);

/** When the organisation's use will have faded to the level. */
[[nodiscard]] Milliseconds timeUntilLevel(double use, double level, CapacityPool pool);

/** The organisation's use in equal shares; 0 where it is alone. */
[[nodiscard]] double equalShares(const ShareView &view);

/** How much later an organisation beyond an equal share starts, at most `most`. */
[[nodiscard]] Milliseconds delayBeyondShare(const ShareView &view, Milliseconds most);

} // namespace magnolia::admission::internal
