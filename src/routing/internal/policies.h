// The policies that chooseUpstream selects from.
#pragma once

#include "blackboard/types/publishedinstance.h"
#include "framework/global/error.h"
#include "framework/global/random.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingdecision.h"
#include "routing/types/routingrequest.h"

#include <vector>

namespace magnolia::routing::internal
{

using Upstreams = std::vector<const PublishedInstance *>;

/** Power of two choices among the upstreams with similar predicted time to the first token. */
[[nodiscard]] Result<RoutingDecision> chooseBySlack(const RoutingRequest &request, const RoutingContext &context,
    const Upstreams &usable, MonoTime now, Random &random);

/** Round robin, least outstanding requests or prefix affinity with bounded load, according to `context.policy`. */
[[nodiscard]] Result<RoutingDecision> chooseByBaseline(
    const RoutingRequest &request, const RoutingContext &context, const Upstreams &usable, MonoTime now);

/**
 * Fills the chosen upstream, the group and the alternates from upstreams in ascending order of score. Returns
 * MemoryGroupUnavailable if there are fewer than `groupSize`.
 */
[[nodiscard]] Result<RoutingDecision> decisionFromRanking(
    std::vector<RankedUpstream> ranked, std::uint32_t groupSize, const RoutingRequest &request);

} // namespace magnolia::routing::internal
