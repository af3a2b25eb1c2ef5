// Derives the times for reading the store.
#include "gateway/internal/storeparameters.h"

#include "gateway/types/gatewaysettings.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Published number of missing heartbeats after which the lease of an upstream expires. */
constexpr int heartbeatsPerLease = 3;
/** Parts of the time in which a change has to be in force; the rest is for a failed check and the answers. */
constexpr double checkIntervalShare = 0.35;
constexpr double checkSpreadShare = 0.15;
/** Upper bound of the interval in heartbeats; several checks fit into the time of a lease. */
constexpr double maxCheckIntervalInHeartbeats = 0.6;
constexpr double silenceLimitInHeartbeats = 2.1;
/** A lease has at least two heartbeats left when an outage begins; the rest is for the delay of the last heartbeat. */
constexpr double minOutageInHeartbeats = 1.7;

Milliseconds scaled(Milliseconds time, double factor)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

published::StoreReaderParameters storeReaderParameters(const GatewaySettings &settings)
{
    published::StoreReaderParameters parameters;
    const Milliseconds applyTime = std::min(settings.configurationApplyTime, settings.evacuationApplyTime);
    parameters.check.interval = std::min(scaled(applyTime, checkIntervalShare),
        scaled(settings.upstreamHeartbeatInterval, maxCheckIntervalInHeartbeats));
    parameters.check.minSpread = scaled(applyTime, checkSpreadShare);
    parameters.check.silenceLimit = scaled(settings.upstreamHeartbeatInterval, silenceLimitInHeartbeats);
    parameters.minOutage = scaled(settings.upstreamHeartbeatInterval, minOutageInHeartbeats);
    return parameters;
}

published::PublishedStateParameters publishedStateParameters(const GatewaySettings &settings)
{
    published::PublishedStateParameters parameters;
    parameters.restoredEntryDelay = settings.upstreamHeartbeatInterval * (heartbeatsPerLease + 1);
    return parameters;
}

} // namespace magnolia::gateway
