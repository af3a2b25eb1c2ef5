// Filters the usable upstreams and applies the policy to them.
#include "routing/routing.h"

#include "routing/candidates.h"
#include "routing/internal/policies.h"

namespace magnolia::routing
{

namespace
{

// With this many usable upstreams in its own data centre an entry considers the others only where the first token is
// predicted to take 1 / localSlackDivisor of the remaining time or more.
constexpr std::size_t minLocalUpstreams = 16;
constexpr int localSlackDivisor = 2;

internal::Upstreams inDataCentre(const internal::Upstreams &usable, const DataCentreId &dataCentre)
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
    const internal::Upstreams local = inDataCentre(*usable, context.ownDataCentre);
    if (local.size() >= minLocalUpstreams && local.size() < usable->size()) {
        auto decision = internal::chooseBySlack(request, context, local, now, random);
        if (decision && decision->predictedFirstToken < (request.firstTokenDue - now) / localSlackDivisor) {
            return decision;
        }
    }
    return internal::chooseBySlack(request, context, *usable, now, random);
}

} // namespace magnolia::routing
