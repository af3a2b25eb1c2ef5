// Compares what a peer has with what this instance has.
#include "fleet/internal/fetchdelay.h"

namespace magnolia::fleet
{

namespace
{

/** An instance that hears the store waits this long for a configuration that a peer has already: some answers' time. */
constexpr Milliseconds configurationDelay{150};
/** An instance that has begun to read the store has pages to read; so long it is left to that. */
constexpr Milliseconds readingDelay{1500};
/** As long for any other change: the reader's pause for series (400 ms) and some answers' time. */
constexpr Milliseconds changeDelay{700};

} // namespace

std::optional<Milliseconds> fetchDelay(const OwnState &own, const Peer &peer)
{
    const bool isConfigurationBehind = peer.configurationVersion > own.configurationVersion;
    const bool isBehind = peer.storeRevision > own.storeRevision;
    const bool isEmpty = !own.isComplete && peer.configurationVersion > 0;
    if (!isConfigurationBehind && !isBehind && !isEmpty) {
        return std::nullopt;
    }
    if (!own.isStoreConnected) {
        return Milliseconds{0};
    }
    if (isEmpty) {
        return readingDelay;
    }
    return isConfigurationBehind ? configurationDelay : changeDelay;
}

bool isFetchNeeded(const OwnState &own, const Peer &peer, MonoTime noticedAt)
{
    if (!fetchDelay(own, peer)) {
        return false;
    }
    const bool isOnlyBehind = own.isComplete && peer.configurationVersion <= own.configurationVersion;
    return !own.isStoreConnected || !isOnlyBehind || own.storeAnsweredAt <= noticedAt;
}

} // namespace magnolia::fleet
