// Placement decision for a request, with its predicted time or retry delay.
#pragma once

#include "framework/global/types/time.h"
#include "placement/types/placement.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace magnolia::placement
{

enum class Verdict {
    Send,
    /** No upstream of the service is currently usable. */
    NoUpstream,
    /** The usable upstreams have asked for no request now. */
    Paused,
    /** The request cannot be answered before its deadline. */
    TooLate,
    /** The request could be answered in time only at the expense of callers who were there before. */
    Crowded,
    /** The request needs more memory than is free on the upstreams. */
    TooLarge,
};

[[nodiscard]] constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Send:
        return "send";
    case Verdict::NoUpstream:
        return "no_upstream";
    case Verdict::Paused:
        return "paused";
    case Verdict::TooLate:
        return "too_late";
    case Verdict::Crowded:
        return "crowded";
    case Verdict::TooLarge:
        return "too_large";
    }
    return "send";
}

struct Decision
{
    Verdict verdict = Verdict::NoUpstream;
    UpstreamKey primary = 0;
    std::vector<UpstreamKey> helpers;
    /** KV cache tokens reserved on each engine of the group; 0 if the memory of the primary is sufficient. */
    double reservedTokensPerHelper = 0;
    /** Predicted time from now to the first event. */
    Milliseconds predictedFirstEvent{0};
    /**
     * Time after which the cause of a refusal is expected to end; empty if the caller then has too little time for the
     * work, or if no end is known.
     */
    std::optional<Milliseconds> retryAfter;
};

} // namespace magnolia::placement
