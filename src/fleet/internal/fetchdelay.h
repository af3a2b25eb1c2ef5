// Decides whether an instance fetches the published state from a peer, and how long it waits for the store first.
#pragma once

#include "fleet/ifleetdelegate.h"
#include "fleet/peertable.h"

#include <optional>

namespace magnolia::fleet
{

/**
 * Returns the time to wait before fetching from `peer`, or nothing if the peer has nothing newer. A fetch is due even
 * while the store seems connected, because a broken connection to the store may stay undetected for seconds.
 */
[[nodiscard]] std::optional<Milliseconds> fetchDelay(const OwnState &own, const Peer &peer);

/**
 * Returns whether a fetch that was scheduled at `noticedAt` is still needed at the end of its delay. If the store has
 * answered since, the rest comes from the store: in a large fleet each instance is always behind some peer.
 */
[[nodiscard]] bool isFetchNeeded(const OwnState &own, const Peer &peer, MonoTime noticedAt);

} // namespace magnolia::fleet
