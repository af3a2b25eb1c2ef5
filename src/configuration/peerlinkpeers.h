// Communication with configuration peers over the authenticated link between instances.
#pragma once

#include "blackboard/blackboard.h"
#include "configuration/iconfigurationpeers.h"
#include "peerlink/ipeertransport.h"

#include <memory>

namespace magnolia::configuration
{

class ConfigurationController;

/** Looks up the addresses of peers on the blackboard. The references must outlive the result. */
[[nodiscard]] std::unique_ptr<IConfigurationPeers> makePeerlinkPeers(
    const Blackboard &blackboard, peerlink::IPeerTransport &transport);

/** Passes messages and requests of type ConfigurationFetch to `controller`. */
void connectToPeerlink(peerlink::IPeerTransport &transport, ConfigurationController &controller);

/**
 * Removes the handlers. Shutdown order: stop the controller, so that it sends nothing more; disconnect; stop the
 * transport, after which no handler runs; destroy the controller.
 */
void disconnectFromPeerlink(peerlink::IPeerTransport &transport);

} // namespace magnolia::configuration
