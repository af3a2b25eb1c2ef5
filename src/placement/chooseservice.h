// The choice of an upstream for one request to a plain service.
//
// Load that this answers: short calls in bursts before upstreams with a few slots each, some of which are slow or fail.
#pragma once

#include "placement/placementtable.h"
#include "placement/types/candidate.h"
#include "placement/types/decision.h"

#include <span>
#include <unordered_map>

namespace magnolia::placement
{

struct ServiceWork
{
    /** Mean time that one request holds a slot, as measured. */
    double meanServiceMs = 50;
    Milliseconds timeLeft{1000};
};

/** Least work ahead for each slot, counted by speed; refused where the wait would outlast the caller. */
[[nodiscard]] Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads);

} // namespace magnolia::placement
