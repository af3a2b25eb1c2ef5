// Writes the status as JSON.
#include "gateway/internal/gatewaystatus.h"

#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/evacuations.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/upstreamsignals.h"
#include "published/publishedstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

using Json = nlohmann::ordered_json;

Json peersJson(const GatewayContext &context)
{
    const MonoTime now = context.loop.now();
    Json rows = Json::array();
    for (const auto &[name, peer] : context.fleet->table().peers()) {
        const bool isSilent = context.fleet->table().isSilent(peer, now);
        rows.push_back({{"id", name}, {"data_centre", peer.dataCentre},
            {"state",
                isSilent             ? "silent"
                    : peer.isLeaving ? "leaving"
                    : peer.isReady   ? "ready"
                                     : "starting"},
            {"partitioned", peer.isPartitioned}, {"heard_ms_ago", toMilliseconds(now - peer.lastHeardAt).count()},
            {"configuration", peer.configurationVersion}, {"store_revision", peer.storePosition.revision},
            {"extensions", peer.extensionSequence > 0}, {"capabilities", peer.capabilities}});
    }
    return rows;
}

std::string_view stateOf(const GatewayContext &context, const published::PublishedState::UpstreamRecord &held,
    placement::UpstreamKey upstream)
{
    const MonoTime now = context.loop.now();
    const KnownUpstream *known = context.upstreams.find(upstream);
    if (held.entry.isLeaving || (known != nullptr && known->entry.isLeaving)) {
        return "leaving";
    }
    if (held.removeAt) {
        return "missing";
    }
    if (context.outliers.isExcluded(upstream, now)) {
        return "left out";
    }
    if (known != nullptr && upstreamAvailableAt(context, *known) > now) {
        return "paused";
    }
    return context.outliers.isOnTrial(upstream, now) ? "on trial" : "live";
}

Json upstreamsJson(GatewayContext &context, const published::PublishedState &publishedState)
{
    const MonoTime now = context.loop.now();
    const auto loads = context.placements.loads(now);
    Json rows = Json::array();
    for (const auto &[key, held] : publishedState.upstreams()) {
        const placement::UpstreamKey upstream = UpstreamIndex::keyOf(held.entry.id);
        const auto found = loads.find(upstream);
        const placement::PlacementLoad load = found == loads.end() ? placement::PlacementLoad() : found->second;
        rows.push_back({{"id", held.entry.id.value()}, {"service", held.entry.service},
            {"data_centre", held.entry.dataCentre.value()}, {"state", stateOf(context, held, upstream)},
            {"requests", load.requests}, {"writers", load.decodingRequests.size()}, {"helping", load.helperPrefills},
            {"backlog_ms", static_cast<std::int64_t>(load.backlogMs)},
            {"memory_tokens", static_cast<std::int64_t>(load.usedKvTokens)},
            {"failure_share", context.outliers.failureShare(upstream, now)},
            {"pace", std::max(context.outliers.slowdown(upstream), context.placements.slowdown(upstream, now))}});
        // Null without a limit.
        const auto limit = context.pressure.limit(upstream, held.entry.startedAt);
        rows.back()["limit_per_second"] = limit ? Json(*limit) : Json();
        if (const KnownUpstream *known = context.upstreams.find(upstream);
            known != nullptr && context.cold->budgetOf(*known)) {
            rows.back()["cold_ms"] = context.cold->coldTimeLeft(*known).count();
        }
    }
    return rows;
}

Json retryBudgetsJson(const GatewayContext &context)
{
    Json rows = Json::array();
    for (const auto &[service, budget] : context.retryBudgets.all()) {
        rows.push_back({{"service", service}, {"balance", budget.balance}, {"maximum", budget.maxBalance}});
    }
    return rows;
}

Json quarantineJson(const GatewayContext &context)
{
    const MonoTime now = context.loop.now();
    Json rows = Json::array();
    for (const quarantine::QuarantineEntry &it : context.crashes->table().entries()) {
        rows.push_back(
            {{"suspects", quarantine::toHex(it.traits.suspects)}, {"context", quarantine::toHex(it.traits.context)},
                {"crashes", it.crashCount}, {"last_crash_ms_ago", toMilliseconds(now - it.lastCrashAt).count()},
                {"ends_in_ms", toMilliseconds(it.until - now).count()}});
    }
    return rows;
}

Json evacuationsJson(GatewayContext &context)
{
    Json rows = Json::array();
    for (const auto &[dataCentre, since] : context.evacuatedSince) {
        rows.push_back(
            {{"data_centre", dataCentre.value()}, {"since_ms_ago", toMilliseconds(context.loop.now() - since).count()},
                {"requests", requestsInDataCentre(context, dataCentre)}});
    }
    return rows;
}

/** Returns since when and by what evidence this instance is cut from all upstreams; null if it is not. */
Json partitionJson(const GatewayContext &context)
{
    const reachability::PartitionDetector &detector = context.path->detector();
    if (!detector.isPartitioned()) {
        return {};
    }
    Json failed = Json::array();
    for (const placement::UpstreamKey it : detector.failedUpstreams()) {
        failed.push_back(context.upstreams.idOf(it));
    }
    return {{"since_ms_ago", toMilliseconds(context.loop.now() - *detector.partitionedSince()).count()},
        {"unreachable", failed}};
}

} // namespace

std::string statusJson(
    GatewayContext &context, const published::PublishedState &publishedState, const InstanceStatus &instanceStatus)
{
    Json status;
    status["instance"] = context.settings.instance.value();
    status["data_centre"] = context.settings.dataCentre.value();
    status["state"] = instanceStatus.state;
    status["configuration_version"] = context.catalogue ? context.catalogue->version : 0;
    status["store_revision"] = publishedState.position().revision;
    status["store_era"] = publishedState.position().era;
    status["store_reached"] = instanceStatus.isStoreReached;
    status["open_requests"] = instanceStatus.openRequests;
    status["known_placements"] = context.placements.size();
    status["partition"] = partitionJson(context);
    status["evacuations"] = evacuationsJson(context);
    status["relayed_requests"] = context.relayedRequests;
    status["peers"] = peersJson(context);
    status["upstreams"] = upstreamsJson(context, publishedState);
    status["retry_budgets"] = retryBudgetsJson(context);
    status["quarantine"] = quarantineJson(context);
    status["crash_reports"] = context.crashes->table().reportCount();
    return status.dump();
}

} // namespace magnolia::gateway
