// What this instance found out about the upstreams by using them.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <unordered_map>

namespace magnolia
{

struct UpstreamHealth
{
    /** Seen as leaving by any of list, peers or its own answers. */
    bool isLeaving = false;
    /** Connections that failed in a row, by new connections only. */
    std::uint32_t consecutiveFailures = 0;
    /** Not to be used before this time; zero where it may be used. */
    MonoTime avoidUntil{};

    friend bool operator==(const UpstreamHealth &, const UpstreamHealth &) = default;
};

struct UpstreamHealthTable
{
    std::unordered_map<UpstreamId, UpstreamHealth> upstreams;
};

} // namespace magnolia
