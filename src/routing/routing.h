// Chooses an upstream for one request; depends only on the arguments.
#pragma once

#include "framework/global/error.h"
#include "framework/global/random.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingdecision.h"
#include "routing/types/routingrequest.h"

namespace magnolia::routing
{

/**
 * Chooses the upstream that the request is sent to. Never chooses one that is leaving, serves another model or
 * service, or was already tried by this request.
 *
 * Returns UpstreamNone if no upstream is usable, MemoryGroupUnavailable if there are too few engines for a prompt that
 * needs several, and MemoryExhausted if no engine has memory for a long prompt; each with a retry-after time.
 */
[[nodiscard]] Result<RoutingDecision> chooseUpstream(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now, Random &random);

} // namespace magnolia::routing
