// Filter, then policy.
#include "routing/routing.h"

#include "routing/candidates.h"
#include "routing/internal/policies.h"

namespace magnolia::routing
{

namespace
{

// With this many upstreams in its own data centre an entry looks at the others only where those are short of time.
constexpr std::size_t enoughUpstreams = 16;
constexpr int slackDivisor = 2;

internal::Upstreams ofDataCentre(const internal::Upstreams &usable, const DataCentreId &dataCentre)
{
    internal::Upstreams local;
    for (const PublishedInstance *it : usable) {
        if (it->dataCentre == dataCentre) {
            local.push_back(it);
        }
    }
    return local;
}

} // namespace

Result<RoutingDecision> chooseUpstream(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now, Random &random)
{
    auto usable = usableUpstreams(request, context, now);
    if (!usable) {
        return tl::unexpected(usable.error());
    }
    if (context.policy != RoutingPolicy::SlackAware) {
        return internal::chooseByBaseline(request, context, *usable, now);
    }
    const internal::Upstreams local = ofDataCentre(*usable, context.ownDataCentre);
    if (local.size() >= enoughUpstreams && local.size() < usable->size()) {
        auto decision = internal::chooseBySlack(request, context, local, now, random);
        if (decision && decision->predictedFirstToken < (request.firstTokenDue - now) / slackDivisor) {
            return decision;
        }
    }
    return internal::chooseBySlack(request, context, *usable, now, random);
}

} // namespace magnolia::routing
