// Max-min fairness between organisations, based on the cost that was recently admitted for each.
#pragma once

#include "admission/types/admissionstate.h"

#include <optional>

namespace magnolia::admission::internal
{

/** Usage of one pool by all organisations and by the requesting one, in estimated cost per second. */
struct PoolShares
{
    /** Recent usage of the requesting organisation. */
    double ownUsage = 0;
    double totalUsage = 0;
    /** Number of organisations with a non-negligible usage. */
    double activeOrganisations = 0;
    /** Max-min level if `capacity` times the total usage is served; infinite if all usage fits. */
    double maxMinLevel = 0;
    /** The same level for the long-term usage alone, which it approaches as the recent usage decays. */
    double longTermMaxMinLevel = 0;
};

/** `capacity` is a share of the total usage. */
[[nodiscard]] PoolShares computePoolShares(
    const AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double capacity, MonoTime now);

void recordAdmitted(
    AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double cost, MonoTime now);

/** Whether the long-term usage of every pool has decayed to less than 1. */
[[nodiscard]] bool isNegligible(const OrganisationUsage &usage, MonoTime now);

/** Whether the organisation's recent usage is at most one request of this cost. */
[[nodiscard]] bool isWithinOneRequest(const PoolShares &shares, CapacityPool pool, double cost);

/** Time until the organisation's usage has decayed to the level. */
[[nodiscard]] Milliseconds timeUntilLevel(double usage, double level, CapacityPool pool);

/** The organisation's usage as a multiple of an equal share; 0 if it is the only active one. */
[[nodiscard]] double equalShareMultiple(const PoolShares &shares);

/** Delay of the start for an organisation above an equal share, at most `maxDelay`; zero within it. */
[[nodiscard]] Milliseconds fairnessDelayFor(const PoolShares &shares, Milliseconds maxDelay);

} // namespace magnolia::admission::internal
