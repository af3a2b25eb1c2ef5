// Shared facts of the requests of one instance.
#include "gateway/internal/gatewaycontext.h"

#include "placement/enginecost.h"

#include <algorithm>
#include <unordered_set>

namespace magnolia::gateway
{

namespace
{

/** Share of the slack that is spent; the rest is kept for instances that this one does not see. */
constexpr double spentSlack = 0.8;
/** A new instance may follow one that has spent its part already. */
constexpr double firstBalance = 0.4;
/** A usual answer takes about as long, after which requests that nobody told of have ended. */
constexpr Milliseconds unseenTime{2000};

/** Reading time of one part of a placement, by the engine model of the service of its primary. */
double partMs(const GatewayContext &context, const placement::Placement &it)
{
    const UpstreamRef *ref = context.upstreams.find(it.primary);
    if (ref == nullptr || !context.catalogue) {
        return 0;
    }
    const auto service = context.catalogue->services.find(ref->entry.service);
    if (service == context.catalogue->services.end() || !service->second.engine) {
        return 0;
    }
    const double whole = placement::prefillMs(*service->second.engine, it.promptTokens);
    return whole * context.choice.prefillOverheadFactor / static_cast<double>(it.helpers.size() + 1);
}

} // namespace

GatewayContext::GatewayContext(eventloop::EventLoop &theLoop, const GatewaySettings &theSettings, std::uint64_t seed)
    : loop(theLoop)
    , settings(theSettings)
    , pool(theLoop)
    , board([this](const placement::Placement &it) {
        return partMs(*this, it);
    })
    , random(seed)
{
}

limits::RetryBudget &retryBudget(GatewayContext &context, const std::string &service)
{
    const auto known = context.retryBudgets.find(service);
    if (known != context.retryBudgets.end()) {
        return known->second;
    }
    const double instances
        = std::max<double>(1, static_cast<double>(context.fleet->table().liveInstanceCount(context.loop.now())));
    limits::RetryBudget made;
    made.ratio = context.settings.retryRatio;
    made.maxBalance = std::max(1.0, context.settings.retrySlack * spentSlack / instances);
    made.balance = std::max(1.0, made.maxBalance * firstBalance);
    return context.retryBudgets.emplace(service, made).first->second;
}

double failureShareOfFellows(const GatewayContext &context, const std::string &service, placement::UpstreamKey except)
{
    double sum = 0;
    int count = 0;
    for (const UpstreamRef &it : context.upstreams.ofService(service)) {
        if (it.key != except && !it.entry.isLeaving) {
            sum += context.outliers.failureShare(it.key, context.loop.now());
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

void forgetUnpublished(GatewayContext &context)
{
    const auto isKnown = [&context](std::uint64_t upstream) {
        return context.upstreams.find(upstream) != nullptr;
    };
    context.outliers.retain(isKnown);
    std::erase_if(context.unseen, [&](const auto &it) {
        return !isKnown(it.first);
    });
    if (!context.catalogue) {
        return;
    }
    std::unordered_set<std::string> routes;
    for (const auto &[host, list] : context.catalogue->routesByHost) {
        for (const catalogue::Route &route : list) {
            routes.insert(route.name);
        }
    }
    std::erase_if(context.callerTimes, [&](const auto &it) {
        return !routes.contains(it.first);
    });
    const auto isService = [&context](const auto &it) {
        return context.catalogue->services.contains(it.first);
    };
    std::erase_if(context.retryBudgets, [&](const auto &it) {
        return !isService(it);
    });
    std::erase_if(context.serviceMs, [&](const auto &it) {
        return !isService(it);
    });
}

int unseenRequests(const GatewayContext &context, placement::UpstreamKey upstream)
{
    const auto it = context.unseen.find(upstream);
    if (it == context.unseen.end()) {
        return 0;
    }
    const double age = std::chrono::duration<double, std::milli>(context.loop.now() - it->second.saidAt).count();
    const double share = std::max(0.0, 1 - age / static_cast<double>(unseenTime.count()));
    return static_cast<int>(it->second.count * share);
}

void recordEvidence(GatewayContext &context, placement::UpstreamKey upstream, outliers::AttemptOutcome evidence)
{
    const UpstreamRef *ref = context.upstreams.find(upstream);
    const double fellows = ref == nullptr ? 0 : failureShareOfFellows(context, ref->entry.service, upstream);
    context.outliers.recordOutcome(upstream, evidence, fellows, context.loop.now());
}

} // namespace magnolia::gateway
