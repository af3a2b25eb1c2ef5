// Startup settings of one gateway instance.
#pragma once

#include "fleet/types/peermessage.h"
#include "framework/global/types/bytes.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "gateway/types/wirenames.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::gateway
{

struct GatewaySettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    /** IP:PORT of each listener. Optional listeners with an empty address are not opened; the caller listener is
     * required. */
    std::string callerAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::string metricsAddress;
    /** Address at which peers without a path to the upstreams relay their requests; without it none are taken. */
    std::string relayAddress;
    fleet::PeerAddress peerAddress;
    std::vector<fleet::PeerAddress> seeds;
    WireNames names;
    WirePaths paths;
    /** Time for which callers may cache a response of the address directory. */
    Milliseconds locateTtl{2000};
    /** Time without a message of a peer after which the address directory no longer names it. */
    Milliseconds maxNamedSilence{6000};
    /** Maximum time between the request to stop and the end of the process. */
    Milliseconds stopGracePeriod{8000};
    /** Retries that all instances may make per service and window: this share of its requests, plus the slack. */
    double retryRatio = 0.2;
    double retrySlack = 100;
    Milliseconds retryWindow{10'000};
    /**
     * Requests that a cold upstream may get in any second from all instances together: its published rate times
     * `coldRatio`, plus `coldSlack`. Cold upstreams have no budget unless both are set.
     */
    std::optional<double> coldRatio;
    std::optional<double> coldSlack;
    /** Time after which no request reaches the upstreams of a data centre that the operator has evacuated. */
    Milliseconds evacuationApplyTime{5000};
    /** Region of this instance, and the regions of all data centres by their names; empty if not known. */
    RegionId region;
    std::map<DataCentreId, RegionId> regions;
    /** Memory that the process may use; 0 if it is not limited. */
    Bytes maxMemory{0};
    /** Time in which a published configuration has to be in force. */
    Milliseconds configurationApplyTime{2000};
    /** Time between two heartbeats of an upstream to the store. */
    Milliseconds upstreamHeartbeatInterval{1200};
    /** Maximum number of open connections from callers. */
    std::size_t maxConnections = 2000;
    /** Maximum number of open connections on which peers relay requests. */
    std::size_t maxRelayConnections = 400;
    /** Maximum time for which one order may reserve memory at an engine. */
    Milliseconds maxHoldTime{20'000};
};

} // namespace magnolia::gateway
