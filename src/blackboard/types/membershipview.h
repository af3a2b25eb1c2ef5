// States of the other entry instances as seen by this instance.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <map>
#include <string>
#include <string_view>

namespace magnolia
{

enum class PeerState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

[[nodiscard]] constexpr std::string_view toString(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Leaving:
        return "leaving";
    case PeerState::Dead:
        return "dead";
    }
    return "dead";
}

struct PeerView
{
    PeerState state = PeerState::Alive;
    Incarnation incarnation;
    /** Address `ip:port` for messages between peers. */
    std::string peerAddress;
    /** Time at which the state was entered. */
    MonoTime since{};
};

struct MembershipView
{
    /** Does not include this instance. */
    std::map<InstanceId, PeerView> peers;
    /** Upstreams reported as leaving by any peer, with the time of the report. */
    std::map<UpstreamId, MonoTime> leavingUpstreams;
};

} // namespace magnolia
