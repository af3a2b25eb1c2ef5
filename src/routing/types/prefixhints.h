// Upstreams that probably cache a prompt prefix. Cache events arrive late and may be lost, so these are only hints.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace magnolia::routing
{

struct PrefixHint
{
    UpstreamId upstream;
    Tokens cached;
    MonoTime seenAt{};
};

struct PrefixHintTable
{
    // Invariant: an upstream is listed at most once for each prefix.
    std::unordered_map<std::uint64_t, std::vector<PrefixHint>> prefixes;
};

} // namespace magnolia::routing
