// Which upstreams may be chosen at all, whatever the policy.
#pragma once

#include "framework/global/error.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingrequest.h"

#include <vector>

namespace magnolia::routing
{

/** Whether any of the list, the peers or the upstream's own answers say that it is leaving. */
[[nodiscard]] bool isLeaving(const PublishedInstance &instance, const RoutingContext &context);

/**
 * The listed upstreams that serve the request's target, are not leaving, are not to be avoided now and were not
 * tried before. Returns UpstreamNone, with when the first may be used again, where there is none.
 */
[[nodiscard]] Result<std::vector<const PublishedInstance *>> usableUpstreams(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now);

} // namespace magnolia::routing
