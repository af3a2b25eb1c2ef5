// Address of another instance and the id with which it must answer.
#pragma once

#include "framework/global/types/ids.h"

#include <string>

namespace magnolia::peerlink
{

struct PeerAddress
{
    /** Sent as the recipient in the envelope; another instance at the same address rejects the message. */
    InstanceId instance;
    /** `ip:port` of the peer listener; UDP and TCP use the same port number. */
    std::string address;
};

} // namespace magnolia::peerlink
