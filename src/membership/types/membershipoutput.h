// The messages to send and the events to handle after a step or a tick.
#pragma once

#include "membership/types/membershipevent.h"
#include "membership/types/membershipmessage.h"
#include "peerlink/types/peeraddress.h"

#include <vector>

namespace magnolia::membership
{

struct OutgoingMessage
{
    peerlink::PeerAddress to;
    MembershipMessage message;
};

struct MembershipOutput
{
    std::vector<OutgoingMessage> messages;
    std::vector<MembershipEvent> events;
};

} // namespace magnolia::membership
