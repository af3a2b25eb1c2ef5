// Reads and records the signals of upstreams.
#include "gateway/internal/upstreamsignals.h"

#include "fleet/cells.h"
#include "fleet/fleetlink.h"
#include "framework/httpwire/types/messagehead.h"
#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/evacuations.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/types/wirenames.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace magnolia::gateway
{

namespace
{

constexpr int otherUpstreamStatus = 421;
constexpr int unavailableStatus = 503;
/** Bound of the arithmetic, about seventeen minutes. */
constexpr double maxColdMs = 1e6;
/** Bound of the arithmetic, about eleven days. */
constexpr double maxPauseSeconds = 1e6;

/**
 * Returns the part of an upstream's limit for the instances of the own cell, which hear each other's placements: an
 * equal part for each cell that uses the upstream.
 */
double shareOfLimit(const GatewayContext &context, const KnownUpstream &upstream)
{
    const std::vector<std::size_t> &cellSizes = context.fleet->cellSizes();
    if (cellSizes.size() <= 1) {
        return 1;
    }
    std::vector<placement::UpstreamKey> keys;
    std::size_t index = 0;
    for (const KnownUpstream &it : context.upstreams.ofService(upstream.entry.service)) {
        if (it.key == upstream.key) {
            index = keys.size();
        }
        if (!it.entry.isLeaving && !isEvacuated(context, it.entry.dataCentre)) {
            keys.push_back(it.key);
        }
    }
    std::size_t users = 0;
    for (std::size_t cell = 0; cell < cellSizes.size(); ++cell) {
        const auto used = fleet::upstreamsOfCell(keys, cell, cellSizes);
        users += std::find(used.begin(), used.end(), index) != used.end() ? 1 : 0;
    }
    return 1.0 / static_cast<double>(std::max<std::size_t>(users, 1));
}

} // namespace

UpstreamSignals readUpstreamSignals(const httpwire::ResponseHead &head, const WireNames &names)
{
    if (head.status == otherUpstreamStatus) {
        // Another upstream has the address now.
        return {};
    }
    UpstreamSignals signals;
    signals.isLeaving = head.fields.value(names.upstreamLeaving) == "1";
    const double seconds = readNumber(head.fields.value(names.retryAfter));
    if (head.status == unavailableStatus && seconds > 0) {
        signals.pause = Milliseconds(static_cast<std::int64_t>(std::min(seconds, maxPauseSeconds) * 1000));
    }
    if (head.fields.has(names.upstreamLimit)) {
        signals.requestsPerSecond = readNumber(head.fields.value(names.upstreamLimit));
    }
    if (const double ms = readNumber(head.fields.value(names.upstreamCold)); ms > 0) {
        signals.coldRemaining = Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(ms, maxColdMs))));
    }
    signals.hasLimitStatement = signals.requestsPerSecond || (head.status >= 200 && head.status < 300);
    return signals;
}

void recordUpstreamSignals(GatewayContext &context, placement::UpstreamKey upstream, const UpstreamSignals &signals)
{
    const KnownUpstream *known = context.upstreams.find(upstream);
    if (known == nullptr) {
        return;
    }
    if (signals.isLeaving && context.upstreams.markLeaving(upstream, known->entry.startedAt)) {
        logging::write(logging::Level::Info, "gateway", "upstream_leaving",
            {{"upstream", std::string_view(known->entry.id.value())}, {"told_by", "answer"}});
        context.fleet->announceLeaving({upstream, known->entry.startedAt});
    }
    if (signals.pause) {
        context.pressure.pause(upstream, known->entry.startedAt, *signals.pause, context.loop.now());
        logging::write(logging::Level::Info, "gateway", "upstream_paused",
            {{"upstream", std::string_view(known->entry.id.value())},
                {"pause_ms", std::int64_t{signals.pause->count()}}});
    }
    if (signals.coldRemaining > Milliseconds{0}) {
        context.cold->onAnswer(upstream, signals.coldRemaining);
    }
    if (signals.hasLimitStatement
        && context.pressure.setLimit(upstream, known->entry.startedAt, signals.requestsPerSecond, context.loop.now())) {
        logging::write(logging::Level::Info, "gateway", "upstream_limited",
            {{"upstream", std::string_view(known->entry.id.value())},
                {"per_second", signals.requestsPerSecond.value_or(0)},
                {"limited", signals.requestsPerSecond.has_value()}, {"told_by", "answer"}});
        context.fleet->announceLimit({upstream, known->entry.startedAt, signals.requestsPerSecond.has_value(),
            signals.requestsPerSecond.value_or(0)});
    }
}

void countRequest(GatewayContext &context, placement::UpstreamKey upstream)
{
    const KnownUpstream *known = context.upstreams.find(upstream);
    if (known != nullptr && context.pressure.limit(upstream, known->entry.startedAt)) {
        context.pressure.recordRequest(upstream, shareOfLimit(context, *known), context.loop.now());
    }
}

MonoTime upstreamAvailableAt(const GatewayContext &context, const KnownUpstream &upstream)
{
    const bool isLimited = context.pressure.limit(upstream.key, upstream.entry.startedAt).has_value();
    return context.pressure.availableAt(
        upstream.key, upstream.entry.startedAt, isLimited ? shareOfLimit(context, upstream) : 1, context.loop.now());
}

} // namespace magnolia::gateway
