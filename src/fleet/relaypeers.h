// Chooses the peer that serves a request of an instance that can reach no upstream.
#pragma once

#include "fleet/peertable.h"
#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct RelayNeeds
{
    /** Data centre of this instance; its peers are nearest. */
    std::string dataCentre;
    /** A peer with an earlier configuration could treat the request differently. */
    std::uint64_t minConfigurationVersion = 0;
    /** Peers that have already been tried. */
    std::vector<std::string> excluded;
    /** Tells which peers may get the request; all may if it is not set. */
    std::function<bool(const Peer &peer)> isAllowed = {};
};

/**
 * Returns a random peer that takes relayed requests; null if there is none. Peers of the own data centre are preferred
 * unless most of them are partitioned themselves, since the few others would have to serve the callers of all of them.
 */
[[nodiscard]] const Peer *chooseRelayPeer(
    const PeerTable &table, const RelayNeeds &needs, MonoTime now, Random &random);

} // namespace magnolia::fleet
