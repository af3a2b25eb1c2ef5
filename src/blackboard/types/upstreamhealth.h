// Health of the upstreams as observed by this instance.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <unordered_map>

namespace magnolia
{

struct UpstreamHealth
{
    /** Reported as leaving by the published list, a peer or the upstream itself. */
    bool isLeaving = false;
    /** Consecutive failures to connect; only new connections count. */
    std::uint32_t consecutiveFailures = 0;
    /** The upstream is not used before this time; zero if it may be used. */
    MonoTime avoidUntil{};

    friend bool operator==(const UpstreamHealth &, const UpstreamHealth &) = default;
};

struct UpstreamHealthTable
{
    std::unordered_map<UpstreamId, UpstreamHealth> upstreams;
};

} // namespace magnolia
