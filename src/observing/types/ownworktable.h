// The requests that this entry has in flight, by upstream; exact, unlike load reports.
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
    /** KV memory for the prompt and the maximum output. */
    Tokens memory;
    /** Due time of the first token; the engine prefers requests that are due earlier. */
    MonoTime firstTokenDue{};
    bool isLong = false;
    bool hasFirstToken = false;
};

struct OwnWorkTable
{
    // Invariant: a request is listed at most once for each upstream; no list is empty.
    std::unordered_map<UpstreamId, std::vector<OwnAttempt>> upstreams;
};

} // namespace magnolia::observing
