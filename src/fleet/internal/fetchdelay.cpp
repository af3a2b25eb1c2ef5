// Compares the published state of a peer with the own one.
#include "fleet/internal/fetchdelay.h"

namespace magnolia::fleet
{

namespace
{

/** Wait for a new configuration from a connected store, long enough for several answers of the store. */
constexpr Milliseconds configurationDelay{150};
/** Wait for the first full read of the store, which takes several pages. */
constexpr Milliseconds initialReadDelay{1500};
/** Wait for any other change: the batch delay of the store reader (400 ms) plus several answers of the store. */
constexpr Milliseconds changeDelay{700};

} // namespace

std::optional<Milliseconds> fetchDelay(const OwnState &own, const Peer &peer)
{
    const bool isConfigurationBehind = peer.configurationVersion > own.configurationVersion;
    const bool isRevisionBehind = peer.storePosition > own.storePosition;
    const bool isInitialRead = !own.isComplete && peer.configurationVersion > 0;
    if (!isConfigurationBehind && !isRevisionBehind && !isInitialRead) {
        return std::nullopt;
    }
    if (!own.isStoreConnected) {
        return Milliseconds{0};
    }
    if (isInitialRead) {
        return initialReadDelay;
    }
    return isConfigurationBehind ? configurationDelay : changeDelay;
}

bool isFetchNeeded(const OwnState &own, const Peer &peer, MonoTime noticedAt)
{
    if (!fetchDelay(own, peer)) {
        return false;
    }
    const bool isOnlyRevisionBehind = own.isComplete && peer.configurationVersion <= own.configurationVersion;
    return !own.isStoreConnected || !isOnlyRevisionBehind || own.storeAnsweredAt <= noticedAt;
}

} // namespace magnolia::fleet
