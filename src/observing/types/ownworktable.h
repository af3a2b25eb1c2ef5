// Each request that this entry has under way, by upstream: exact, unlike load reports.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <unordered_map>
#include <vector>

namespace magnolia::observing
{

struct OwnAttempt
{
    RequestId request;
    MonoTime dispatchedAt{};
    /** Prompt tokens that this upstream has to prefill. */
    Tokens prefill;
    /** KV memory that it will hold: prompt and the most that may be generated. */
    Tokens memory;
    /** When its class wants the first token; what is due earlier goes first at the engine. */
    MonoTime firstTokenDue{};
    bool isLong = false;
    bool hasFirstToken = false;
};

struct OwnWorkTable
{
    // Invariant: a request stands at most once in the list of one upstream; lists are never empty.
    std::unordered_map<UpstreamId, std::vector<OwnAttempt>> upstreams;
};

} // namespace magnolia::observing
