// What all requests of one instance share: the facts that they decide on, and the means to act.
#pragma once

#include "catalogue/types/catalogue.h"
#include "fleet/fleetlink.h"
#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"
#include "framework/metrics/metricsregistry.h"
#include "gateway/internal/upstreamconnectionpool.h"
#include "gateway/internal/upstreamindex.h"
#include "gateway/types/gatewaysettings.h"
#include "gateway/types/memoryorder.h"
#include "limits/types/retrybudget.h"
#include "outliers/outliertable.h"
#include "placement/chooseengines.h"
#include "placement/placementtable.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace magnolia::gateway
{

struct GatewayContext
{
    GatewayContext(eventloop::EventLoop &theLoop, const GatewaySettings &theSettings, std::uint64_t seed);

    eventloop::EventLoop &loop;
    const GatewaySettings &settings;
    UpstreamPool pool;
    UpstreamView upstreams;
    placement::PlacementTable board;
    placement::ChoiceParameters choice;
    outliers::OutlierTable outliers;
    metrics::MetricsRegistry metrics;
    Random random;
    std::function<std::string(const MemoryOrder &order)> writeMemoryOrder;
    /** Null until a configuration is known. */
    std::shared_ptr<const catalogue::Catalogue> catalogue;
    std::shared_ptr<fleet::FleetLink> fleet;
    /** By service. */
    std::unordered_map<std::string, limits::RetryBudget> retryBudgets;
    /** Requests that an upstream says it has beyond those that are known here, and when it said so. */
    struct UnseenRequests
    {
        int count = 0;
        MonoTime saidAt{};
    };
    std::unordered_map<placement::UpstreamKey, UnseenRequests> unseen;
    /** Longest time that callers of a route were seen to wait. */
    std::unordered_map<std::string, Milliseconds> callerTimes;
    /** Mean time of a call of a plain service, in milliseconds. */
    std::unordered_map<std::string, double> serviceMs;
    /** When the process ends at the latest; set once it was told to stop. */
    std::optional<MonoTime> stopAt;
    /** Until then a stopping process takes what is expected to end in time; later only what surely does. */
    MonoTime strictStopFrom{};
};

/** The retry budget of `service`: this instance's share of what all together may repeat. */
[[nodiscard]] limits::RetryBudget &retryBudget(GatewayContext &context, const std::string &service);

/** Share of failures among the upstreams of a service other than `except`. */
[[nodiscard]] double failureShareOfFellows(
    const GatewayContext &context, const std::string &service, placement::UpstreamKey except);

/** Requests at an upstream that no instance told of, as after a restart of all; the word of an upstream ages. */
[[nodiscard]] int unseenRequests(const GatewayContext &context, placement::UpstreamKey upstream);

/** Forgets what was noted of upstreams and routes that are no longer published. */
void forgetUnpublished(GatewayContext &context);

/** Notes what an attempt showed of an upstream. */
void recordEvidence(GatewayContext &context, placement::UpstreamKey upstream, outliers::AttemptOutcome evidence);

} // namespace magnolia::gateway
