// Everything that one gateway instance is told at its start.
#pragma once

#include "fleet/types/peermessage.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "gateway/types/wirenames.h"

#include <cstddef>
#include <string>
#include <vector>

namespace magnolia::gateway
{

struct GatewaySettings
{
    InstanceId instance;
    DataCentreId dataCentre;
    /** IP:PORT of each listener; empty ones are not opened. */
    std::string callerAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    std::string metricsAddress;
    fleet::PeerAddress peerAddress;
    std::vector<fleet::PeerAddress> seeds;
    WireNames names;
    WirePaths paths;
    /** How long callers keep an answer of the directory. */
    Milliseconds locateTtl{2000};
    /** Longest time between the request to stop and the end of the process. */
    Milliseconds stopGracePeriod{8000};
    /** Repeats allowed to one service by all instances: this share of its requests in a window, and the slack. */
    double retryRatio = 0.2;
    double retrySlack = 100;
    /** Most connections from callers at once. */
    std::size_t maxConnections = 2000;
    /** Longest time for which memory of an engine may be set aside at once. */
    Milliseconds maxHoldTime{20'000};
};

} // namespace magnolia::gateway
