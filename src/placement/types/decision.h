// What was decided for one request, with the figures that decided.
#pragma once

#include "framework/global/types/time.h"
#include "placement/types/placement.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace magnolia::placement
{

enum class Verdict {
    Send,
    /** No upstream of the service may be used now. */
    NoUpstream,
    /** It could not be answered within its time. */
    TooLate,
    /** It could be answered, but only late, and would delay work that is on time. */
    Crowded,
    /** It needs more memory than the upstreams have. */
    TooLarge,
};

[[nodiscard]] constexpr std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Send:
        return "send";
    case Verdict::NoUpstream:
        return "no_upstream";
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
    /** Tokens that each member sets aside; 0 where the primary's memory is enough. */
    double ticketTokens = 0;
    /** Predicted time to the first event. */
    Milliseconds predictedFirstEvent{0};
    /** When coming back makes sense; for refusals. */
    Milliseconds retryAfter{0};
};

} // namespace magnolia::placement
