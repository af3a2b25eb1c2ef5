// The filter that every policy shares.
#include "routing/candidates.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// Where nothing serves the target, a change of the published list is what helps.
constexpr Milliseconds listChangeTime{2000};

bool servesRequest(const PublishedInstance &instance, const RoutingRequest &request)
{
    const InstanceRole role = request.kind == RequestKind::Model ? InstanceRole::Engine : InstanceRole::Service;
    return instance.role == role
        && std::find(instance.serves.begin(), instance.serves.end(), request.target) != instance.serves.end();
}

bool wasTried(const PublishedInstance &instance, const RoutingRequest &request)
{
    return std::any_of(request.triedUpstreams.begin(), request.triedUpstreams.end(), [&instance](const UpstreamId &it) {
        return it.value() == instance.id;
    });
}

MonoTime avoidedUntil(const PublishedInstance &instance, const RoutingContext &context)
{
    const auto it = context.health->upstreams.find(UpstreamId(instance.id));
    return it == context.health->upstreams.end() ? MonoTime{} : it->second.avoidUntil;
}

} // namespace

bool isLeaving(const PublishedInstance &instance, const RoutingContext &context)
{
    const UpstreamId id(instance.id);
    const auto health = context.health->upstreams.find(id);
    const bool saysItself = health != context.health->upstreams.end() && health->second.isLeaving;
    return instance.isLeaving || saysItself || context.membership->leavingUpstreams.contains(id);
}

Result<std::vector<const PublishedInstance *>> usableUpstreams(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now)
{
    std::vector<const PublishedInstance *> usable;
    MonoTime firstUsable = MonoTime::max();
    for (const PublishedInstance &instance : context.list->instances) {
        if (!servesRequest(instance, request) || isLeaving(instance, context) || wasTried(instance, request)) {
            continue;
        }
        const MonoTime until = avoidedUntil(instance, context);
        if (until > now) {
            firstUsable = std::min(firstUsable, until);
            continue;
        }
        usable.push_back(&instance);
    }
    if (usable.empty()) {
        auto error = makeError(ResultCode::UpstreamNone, "no usable upstream serves " + request.target);
        error.value().retryAfter
            = firstUsable == MonoTime::max() ? listChangeTime : toMilliseconds(firstUsable - now) + Milliseconds(1);
        return error;
    }
    return usable;
}

} // namespace magnolia::routing
