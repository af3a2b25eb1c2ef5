// Upstream selection for a request to a plain service.
//
// Designed for bursts of short calls to upstreams with a few slots each, some of which are slow or fail, from many
// instances that choose at the same moment. A call of 15 ms is shorter than a few datagrams between instances, so the
// counts of their requests are out of date, and a minimum sends all of them to the same upstream.
#pragma once

#include "placement/placementtable.h"
#include "placement/types/callertime.h"
#include "placement/types/candidate.h"
#include "placement/types/decision.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace magnolia::placement
{

struct ServiceWork
{
    /** Measured mean time for which a request occupies a slot. */
    double meanServiceMs = 50;
    CallerTime time;
    /** Random draw of this choice; differs between instances and requests. */
    std::uint64_t seed = 0;
};

/**
 * Chooses the less loaded of two random upstreams among those whose predicted time is near the shortest; refuses if the
 * shortest exceeds the time of the caller. Source: Mitzenmacher, "How Useful Is Old Information?", IEEE TPDS 11(1),
 * 2000: with information that is out of date, the least loaded of two is better than the least loaded of all.
 */
[[nodiscard]] Decision chooseServiceUpstream(const ServiceWork &work, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads);

} // namespace magnolia::placement
