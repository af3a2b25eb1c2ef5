// Determines the upstreams that any policy may choose from.
#pragma once

#include "framework/global/error.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingrequest.h"

#include <vector>

namespace magnolia::routing
{

/** Whether the published list, a peer or the upstream itself reports that it is leaving. */
[[nodiscard]] bool isLeaving(const PublishedInstance &instance, const RoutingContext &context);

/**
 * The listed upstreams that serve the request's target, are not leaving, are not currently avoided and were not tried
 * before. Returns UpstreamNone without any, with the time until the first may be used again.
 */
[[nodiscard]] Result<std::vector<const PublishedInstance *>> usableUpstreams(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now);

} // namespace magnolia::routing
