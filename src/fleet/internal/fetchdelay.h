// Whether an instance asks a peer for all that is published, and how long it waits for the store first.
#pragma once

#include "fleet/ifleetdelegate.h"
#include "fleet/peertable.h"

#include <optional>

namespace magnolia::fleet
{

/**
 * Empty where `peer` knows nothing that this instance lacks. A connection to the store may be silent for seconds before
 * it is found broken: a peer that is ahead for longer than the store's own way takes is asked also then.
 */
[[nodiscard]] std::optional<Milliseconds> fetchDelay(const OwnState &own, const Peer &peer);

/**
 * Whether the fetch that was thought of at `noticedAt` is still needed once its delay is over. A store that has
 * answered since tells the rest by itself: in a large fleet everybody is behind somebody all the time.
 */
[[nodiscard]] bool isFetchNeeded(const OwnState &own, const Peer &peer, MonoTime noticedAt);

} // namespace magnolia::fleet
