// Reads and records the signals of upstreams.
#include "gateway/internal/upstreamsignals.h"

#include "fleet/fleetlink.h"
#include "framework/httpwire/types/messagehead.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/types/wirenames.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

constexpr int otherUpstreamStatus = 421;
constexpr int unavailableStatus = 503;
/** A longer pause is asked for again when it has ended. */
constexpr Milliseconds maxPause{600'000};

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
        signals.pause = std::min(maxPause, Milliseconds(static_cast<std::int64_t>(std::min(seconds, 1e6) * 1000)));
    }
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
}

} // namespace magnolia::gateway
