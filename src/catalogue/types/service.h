// One published service: a set of upstreams that answer the same requests.
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
    /** Connections that one upstream accepts from all callers together. */
    int maxConnections = 0;
    /** Set where the upstreams are model engines. */
    std::optional<EngineModel> engine;
};

} // namespace magnolia::catalogue
