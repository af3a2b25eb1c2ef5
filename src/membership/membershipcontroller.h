// Creates the membership of this instance, which connects the core to the peer link and the blackboard.
#pragma once

#include "blackboard/blackboard.h"
#include "framework/global/iclock.h"
#include "framework/global/types/ids.h"
#include "membership/imembership.h"
#include "membership/types/membershipparameters.h"
#include "peerlink/ipeertransport.h"

#include <cstdint>
#include <memory>
#include <string>

namespace magnolia::membership
{

/** The identity of this instance; must match that of the peer link. */
struct MembershipIdentity
{
    InstanceId instance;
    Incarnation incarnation;
    /** `ip:port` of this instance's peer listener. */
    std::string peerAddress;
};

/**
 * Transport, blackboard and clock must outlive the result, which reads `publishedList` and writes `membership`.
 * `seed` must be different for each instance and each start.
 */
[[nodiscard]] std::unique_ptr<IMembership> makeMembership(const MembershipIdentity &identity,
    const MembershipParameters &parameters, peerlink::IPeerTransport &transport, Blackboard &blackboard,
    const IClock &clock, std::uint64_t seed);

} // namespace magnolia::membership
