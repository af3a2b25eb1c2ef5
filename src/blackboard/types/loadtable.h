// The last known load of each upstream.
#pragma once

#include "blackboard/types/upstreamload.h"
#include "framework/global/types/ids.h"

#include <unordered_map>

namespace magnolia
{

struct LoadTable
{
    std::unordered_map<UpstreamId, UpstreamLoad> upstreams;
};

} // namespace magnolia
