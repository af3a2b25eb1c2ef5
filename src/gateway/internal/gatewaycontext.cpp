// State that the requests of one instance share.
#include "gateway/internal/gatewaycontext.h"

#include "catalogue/homes.h"
#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/pathmonitor.h"
#include "placement/enginecost.h"

#include <algorithm>
#include <cmath>

namespace magnolia::gateway
{

namespace
{

/** Typical duration of a response; unannounced requests are assumed to have ended after it. */
constexpr Milliseconds unreportedLifetime{2000};

/** Model of the engines of the primary's service; null if it is unknown. */
const catalogue::EngineModel *engineOf(const GatewayContext &context, const placement::Placement &it)
{
    const KnownUpstream *knownUpstream = context.upstreams.find(it.primary);
    if (knownUpstream == nullptr || !context.catalogue) {
        return nullptr;
    }
    const auto service = context.catalogue->services.find(knownUpstream->entry.service);
    return service == context.catalogue->services.end() || !service->second.engine ? nullptr : &*service->second.engine;
}

/** Prefill time of one engine's part of a placement, in milliseconds, by the engine model of the primary's service. */
double prefillPartMs(const GatewayContext &context, const placement::Placement &it)
{
    const catalogue::EngineModel *const engine = engineOf(context, it);
    if (engine == nullptr) {
        return 0;
    }
    return placement::prefillMs(*engine, it.promptTokens) * context.choice.prefillOverheadFactor
        / static_cast<double>(it.helpers.size() + 1);
}

/** Returns the time of all passes on an engine whose slots are all in use. */
double decodeMs(const GatewayContext &context, const placement::Placement &it)
{
    const catalogue::EngineModel *engine = engineOf(context, it);
    if (engine == nullptr) {
        return 0;
    }
    const double passes = std::ceil(it.outputTokens / std::max(1, engine->stepsPerPass));
    return passes * placement::decodePassMs(*engine, engine->slots, it.promptTokens);
}

} // namespace

GatewayContext::GatewayContext(eventloop::EventLoop &theLoop, const GatewaySettings &theSettings, std::uint64_t seed)
    : loop(theLoop)
    , settings(theSettings)
    , connectionPool(theLoop)
    , placements(
          [this](const placement::Placement &it) {
              return prefillPartMs(*this, it);
          },
          [this](const placement::Placement &it) {
              return engineOf(*this, it);
          })
    , memory(memory::memoryLimits(theSettings.maxMemory), theSettings.maxConnections + theSettings.maxRelayConnections)
    , answers(memory)
    , random(seed)
    , path(std::make_unique<PathMonitor>(*this))
    , crashes(std::make_unique<CrashMonitor>(*this))
    , cold(std::make_unique<ColdUpstreams>(*this, theLoop.now()))
    , retryBudgets({theSettings.retryRatio, theSettings.retrySlack, theSettings.retryWindow}, theLoop.now())
{
}

GatewayContext::~GatewayContext() = default;

void expireSilentPlacements(GatewayContext &context)
{
    const MonoTime now = context.loop.now();
    std::unordered_map<std::string, MonoTime> silentOwners;
    for (const auto &[name, peer] : context.fleet->table().peers()) {
        if (context.fleet->table().isSilent(peer, now)) {
            silentOwners.emplace(name, peer.lastHeardAt);
        }
    }
    if (silentOwners.empty()) {
        return;
    }
    context.placements.removeExpired(
        silentOwners,
        [&context](const placement::Placement &it) {
            return decodeMs(context, it);
        },
        now);
}

void updateRetryBudgets(GatewayContext &context)
{
    // Instances that are silent may only be cut off from this one, so they count until they are forgotten.
    const std::size_t instances = context.fleet->table().targets(context.loop.now()).size() + 1;
    if (context.retryBudgets.update(instances, context.loop.now())) {
        logging::write(logging::Level::Info, "gateway", "retry_share_changed",
            {{"instances", std::uint64_t{instances}}, {"slack_share", context.retryBudgets.slackShare()},
                {"slack_usable", context.retryBudgets.isSlackUsable()}});
    }
}

double failureShareOfOthers(const GatewayContext &context, const std::string &service, placement::UpstreamKey except)
{
    double sum = 0;
    int count = 0;
    for (const KnownUpstream &it : context.upstreams.ofService(service)) {
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
    context.pressure.retain(isKnown, context.loop.now());
    std::erase_if(context.unreported, [&](const auto &it) {
        return !isKnown(it.first);
    });
    if (!context.catalogue) {
        return;
    }
    context.retryBudgets.retain([&context](const std::string &service) {
        return context.catalogue->services.contains(service);
    });
    std::erase_if(context.withoutUpstreamSince, [&context](const auto &it) {
        return !context.catalogue->services.contains(it.first);
    });
    std::erase_if(context.meanServiceMs, [&context](const auto &it) {
        return !context.catalogue->services.contains(it.first);
    });
}

int unreportedRequests(const GatewayContext &context, placement::UpstreamKey upstream)
{
    const auto it = context.unreported.find(upstream);
    if (it == context.unreported.end()) {
        return 0;
    }
    const double age = std::chrono::duration<double, std::milli>(context.loop.now() - it->second.reportedAt).count();
    const double share = std::max(0.0, 1 - age / static_cast<double>(unreportedLifetime.count()));
    return static_cast<int>(it->second.count * share);
}

RegionId ownRegion(const GatewaySettings &settings)
{
    return settings.region.isEmpty() ? catalogue::regionOf(settings.regions, settings.dataCentre) : settings.region;
}

void recordAttemptOutcome(GatewayContext &context, placement::UpstreamKey upstream,
    outliers::AttemptOutcome attemptOutcome, std::string_view toldBy)
{
    const KnownUpstream *knownUpstream = context.upstreams.find(upstream);
    const double othersFailureShare
        = knownUpstream == nullptr ? 0 : failureShareOfOthers(context, knownUpstream->entry.service, upstream);
    const MonoTime now = context.loop.now();
    const bool wasExcluded = context.outliers.isExcluded(upstream, now);
    context.outliers.recordOutcome(upstream, attemptOutcome, othersFailureShare, now);
    if (!wasExcluded && context.outliers.isExcluded(upstream, now)) {
        logging::write(logging::Level::Info, "gateway", "upstream_left_out",
            {{"upstream", std::string_view(context.upstreams.idOf(upstream))}, {"told_by", toldBy},
                {"reason", attemptOutcome == outliers::AttemptOutcome::Unreachable ? "unreachable" : "failures"},
                {"others_failure_share", othersFailureShare}});
    }
}

} // namespace magnolia::gateway
