// Upstream selection for a request to a plain service.
//
// Designed for bursts of short calls to upstreams with a few slots each, some of which are slow or fail.
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
    /** Measured mean time for which a request occupies a slot. */
    double meanServiceMs = 50;
    Milliseconds timeLeft{1000};
};

/** Chooses the upstream with the shortest predicted time; refuses if that time exceeds `timeLeft`. */
[[nodiscard]] Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads);

} // namespace magnolia::placement
