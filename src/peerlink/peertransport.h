// Creates the peer transport over UDP and TCP.
#pragma once

#include "framework/global/iclock.h"
#include "framework/global/types/ids.h"
#include "peerlink/ipeertransport.h"
#include "peerlink/types/peerkeys.h"
#include "peerlink/types/peerlinkparameters.h"

#include <memory>
#include <string>

namespace magnolia::peerlink
{

/** Identity and listen address of this instance. */
struct PeerIdentity
{
    InstanceId instance;
    /** Invariant: higher than at any earlier start of the instance; the wall clock at start, in milliseconds. */
    Incarnation incarnation;
    /** `ip:port` to bind. */
    std::string listenAddress;
};

/** `clock` must outlive the transport. */
[[nodiscard]] std::unique_ptr<IPeerTransport> makePeerTransport(
    PeerIdentity identity, PeerKeys keys, PeerLinkParameters parameters, const IClock &clock);

} // namespace magnolia::peerlink
