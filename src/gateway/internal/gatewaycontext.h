// State and services that all requests of one instance share.
#pragma once

#include "memory/answerorder.h"
#include "memory/memoryaccount.h"

#include "catalogue/types/catalogue.h"
#include "fleet/fleetlink.h"
#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"
#include "framework/global/types/ids.h"
#include "framework/metrics/metricsregistry.h"
#include "gateway/internal/upstreamconnectionpool.h"
#include "gateway/internal/upstreamindex.h"
#include "gateway/types/gatewaysettings.h"
#include "gateway/types/memoryorder.h"
#include "limits/fleetretrybudgets.h"
#include "limits/pressuretable.h"
#include "outliers/outliertable.h"
#include "placement/chooseengines.h"
#include "placement/placementtable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::gateway
{

class ColdUpstreams;
class CrashMonitor;
class PathMonitor;

struct GatewayContext
{
    GatewayContext(eventloop::EventLoop &theLoop, const GatewaySettings &theSettings, std::uint64_t seed);
    ~GatewayContext();
    GatewayContext(const GatewayContext &) = delete;
    GatewayContext &operator=(const GatewayContext &) = delete;

    eventloop::EventLoop &loop;
    const GatewaySettings &settings;
    UpstreamConnectionPool connectionPool;
    UpstreamIndex upstreams;
    placement::PlacementTable placements;
    placement::ChoiceParameters choice;
    outliers::OutlierTable outliers;
    limits::PressureTable pressure;
    metrics::MetricsRegistry metrics;
    memory::MemoryAccount memory;
    memory::AnswerOrder answers;
    Random random;
    std::function<std::string(const MemoryOrder &order)> writeMemoryOrder;
    /** Null until a configuration has been received. */
    std::shared_ptr<const catalogue::Catalogue> catalogue;
    std::shared_ptr<fleet::FleetLink> fleet;
    std::unique_ptr<PathMonitor> path;
    std::unique_ptr<CrashMonitor> crashes;
    std::unique_ptr<ColdUpstreams> cold;
    limits::FleetRetryBudgets retryBudgets;
    /** Number of requests that an upstream reported beyond those known to this instance. */
    struct UnreportedRequests
    {
        int count = 0;
        MonoTime reportedAt{};
    };
    std::unordered_map<placement::UpstreamKey, UnreportedRequests> unreported;
    /** Times since which no upstream of a service can be used; services with a usable one are not listed. */
    std::unordered_map<std::string, MonoTime> withoutUpstreamSince;
    /** Mean response time by plain service, in milliseconds. */
    std::unordered_map<std::string, double> meanServiceMs;
    /** Number of requests that were relayed to each peer. */
    std::map<std::string, std::uint64_t> relayedRequests;
    /** Evacuated data centres, with the times at which this instance learnt of the evacuations. */
    std::map<DataCentreId, MonoTime> evacuatedSince;
    /** Latest end of the process; set when a stop has been requested. */
    std::optional<MonoTime> stopDeadline;
    /** Before this time a stopping process admits requests that are expected to finish in time; from then on only
     * requests whose deadline lies before its end. */
    MonoTime strictAdmissionFrom{};
};

/** Adapts the retry budgets to the instances that this one knows of. */
void updateRetryBudgets(GatewayContext &context);

/** Returns the mean failure share of the service's upstreams, without `except` and leaving upstreams. */
[[nodiscard]] double failureShareOfOthers(
    const GatewayContext &context, const std::string &service, placement::UpstreamKey except);

/** Returns the estimated number of requests at an upstream that no instance has announced, for example after a restart
 * of all instances. The upstream's report loses weight with its age. */
[[nodiscard]] int unreportedRequests(const GatewayContext &context, placement::UpstreamKey upstream);

/** Removes the placements of silent peers whose requests are expected to have ended; see placement/silentowner.h. */
void expireSilentPlacements(GatewayContext &context);

/** Removes the records of upstreams, routes and services that are no longer published. */
void forgetUnpublished(GatewayContext &context);

/** Returns the region of this instance; empty if it is not known. */
[[nodiscard]] RegionId ownRegion(const GatewaySettings &settings);

/** Source of evidence that this instance has gathered itself. */
inline constexpr std::string_view ownEvidence = "self";

/** Records the outcome of an attempt as evidence about the upstream's health. `toldBy` is `ownEvidence` or the peer
 * that made the attempt. */
void recordAttemptOutcome(GatewayContext &context, placement::UpstreamKey upstream,
    outliers::AttemptOutcome attemptOutcome, std::string_view toldBy = ownEvidence);

} // namespace magnolia::gateway
