// The status as JSON.
#include "gateway/internal/gatewaystatus.h"

#include "gateway/internal/gatewaycontext.h"
#include "published/publishedstate.h"

#include <nlohmann/json.hpp>

namespace magnolia::gateway
{

namespace
{

using Json = nlohmann::ordered_json;

Json peersOf(const GatewayContext &context)
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
            {"heard_ms_ago", toMilliseconds(now - peer.lastHeardAt).count()},
            {"configuration", peer.configurationVersion}, {"store_revision", peer.storeRevision}});
    }
    return rows;
}

Json upstreamsOf(GatewayContext &context, const published::PublishedState &state)
{
    const MonoTime now = context.loop.now();
    const auto loads = context.board.loads(now);
    Json rows = Json::array();
    for (const auto &[key, held] : state.upstreams()) {
        const placement::UpstreamKey upstream = UpstreamView::keyOf(held.entry.id);
        const auto known = loads.find(upstream);
        const placement::PlacementLoad load = known == loads.end() ? placement::PlacementLoad() : known->second;
        rows.push_back({{"id", held.entry.id.value()}, {"service", held.entry.service},
            {"data_centre", held.entry.dataCentre.value()},
            {"state",
                held.entry.isLeaving                             ? "leaving"
                    : held.removeAt                              ? "missing"
                    : context.outliers.isExcluded(upstream, now) ? "left out"
                    : context.outliers.isOnTrial(upstream, now)  ? "on trial"
                                                                 : "live"},
            {"requests", load.requests}, {"writers", load.decodingRequests.size()}, {"helping", load.helperPrefills},
            {"backlog_ms", static_cast<std::int64_t>(load.backlogMs)},
            {"memory_tokens", static_cast<std::int64_t>(load.usedKvTokens)},
            {"failure_share", context.outliers.failureShare(upstream, now)},
            {"pace", context.outliers.slowdown(upstream)}});
    }
    return rows;
}

Json budgetsOf(const GatewayContext &context)
{
    Json rows = Json::array();
    for (const auto &[service, budget] : context.retryBudgets) {
        rows.push_back({{"service", service}, {"balance", budget.balance}, {"maximum", budget.maxBalance}});
    }
    return rows;
}

} // namespace

std::string statusJson(GatewayContext &context, const published::PublishedState &state, const StatusHead &head)
{
    Json status;
    status["instance"] = context.settings.instance.value();
    status["data_centre"] = context.settings.dataCentre.value();
    status["state"] = head.state;
    status["configuration_version"] = context.catalogue ? context.catalogue->version : 0;
    status["store_revision"] = state.revision();
    status["store_reached"] = head.isStoreReached;
    status["open_requests"] = head.openRequests;
    status["known_placements"] = context.board.size();
    status["peers"] = peersOf(context);
    status["upstreams"] = upstreamsOf(context, state);
    status["retry_budgets"] = budgetsOf(context);
    return status.dump();
}

} // namespace magnolia::gateway
