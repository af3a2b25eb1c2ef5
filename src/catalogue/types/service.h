// A published service: a set of upstreams that answer the same requests.
#pragma once

#include "catalogue/types/enginemodel.h"

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
    /** Set if the upstreams are model engines. */
    std::optional<EngineModel> engine;
};

} // namespace magnolia::catalogue
