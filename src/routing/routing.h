// The choice of an upstream for one request: a pure function of the request and the facts.
#pragma once

#include "framework/global/error.h"
#include "framework/global/random.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingdecision.h"
#include "routing/types/routingrequest.h"

namespace magnolia::routing
{

/**
 * Chooses where the request goes. Never a leaving upstream, never one of another model or service, never one that
 * this request tried before.
 *
 * Returns UpstreamNone where no upstream is usable, MemoryGroupUnavailable where a prompt that needs several engines
 * finds too few, MemoryExhausted where a long prompt finds no memory; each with a time to come back.
 */
[[nodiscard]] Result<RoutingDecision> chooseUpstream(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now, Random &random);

} // namespace magnolia::routing
