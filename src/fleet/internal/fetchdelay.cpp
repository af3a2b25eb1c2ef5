// Compares what a peer has with what this instance has.
#include "fleet/internal/fetchdelay.h"

namespace magnolia::fleet
{

namespace
{

/** An instance that hears the store waits this long for a configuration that a peer has already: some answers' time. */
constexpr Milliseconds configurationDelay{150};
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
    if (!own.isStoreReached) {
        return Milliseconds{0};
    }
    return isConfigurationBehind || isEmpty ? configurationDelay : changeDelay;
}

} // namespace magnolia::fleet
