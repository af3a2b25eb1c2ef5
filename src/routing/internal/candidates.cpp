// Filter of usable upstreams, common to all policies.
#include "routing/candidates.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// If no upstream serves the target, only a change of the published list helps.
constexpr Milliseconds listChangeRetryAfter{2000};

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
    const bool isSelfReported = health != context.health->upstreams.end() && health->second.isLeaving;
    return instance.isLeaving || isSelfReported || context.membership->leavingUpstreams.contains(id);
}

Result<std::vector<const PublishedInstance *>> usableUpstreams(
    const RoutingRequest &request, const RoutingContext &context, MonoTime now)
{
    std::vector<const PublishedInstance *> usable;
    MonoTime firstUsableAt = MonoTime::max();
    for (const PublishedInstance &instance : context.list->instances) {
        if (!servesRequest(instance, request) || isLeaving(instance, context) || wasTried(instance, request)) {
            continue;
        }
        const MonoTime until = avoidedUntil(instance, context);
        if (until > now) {
            firstUsableAt = std::min(firstUsableAt, until);
            continue;
        }
        usable.push_back(&instance);
    }
    if (usable.empty()) {
        auto error
            = makeError(ResultCode::UpstreamNone, "no usable upstream serves model or service " + request.target);
        error.value().retryAfter = firstUsableAt == MonoTime::max()
            ? listChangeRetryAfter
            : toMilliseconds(firstUsableAt - now) + Milliseconds(1);
        return error;
    }
    return usable;
}

} // namespace magnolia::routing
