// A published service: a set of upstreams that answer the same requests.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "framework/global/types/time.h"

#include <optional>
#include <string>

namespace magnolia::catalogue
{

struct Service
{
    std::string name;
    std::string healthPath;
    /** Maximum number of connections that one upstream accepts from all clients together. */
    int maxConnections = 0;
    /** Time for which an upstream is cold after it has started; 0 if the service has no budget for cold upstreams. */
    Milliseconds coldTime{0};
    /** Requests per second that a cold upstream accepts; 0 if the service has no budget for cold upstreams. */
    double coldRequestsPerSecond = 0;
    /** Set if the upstreams are model engines. */
    std::optional<EngineModel> engine;
};

} // namespace magnolia::catalogue
