// Reads and records the signals of upstreams.
#include "gateway/internal/upstreamsignals.h"

#include "fleet/fleetlink.h"
#include "framework/httpwire/types/messagehead.h"
#include "framework/logging/log.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/types/wirenames.h"

namespace magnolia::gateway
{

UpstreamSignals readUpstreamSignals(const httpwire::ResponseHead &head, const WireNames &names)
{
    constexpr int otherUpstreamStatus = 421;
    if (head.status == otherUpstreamStatus) {
        // Another upstream has the address now.
        return {};
    }
    UpstreamSignals signals;
    signals.isLeaving = head.fields.value(names.upstreamLeaving) == "1";
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
}

} // namespace magnolia::gateway
