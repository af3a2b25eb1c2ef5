// What routing decided for one request, with the facts it stood on; the entry logs it as one line.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::routing
{

struct RankedUpstream
{
    UpstreamId upstream;
    /** Address `ip:port`. */
    std::string address;
    /** Seconds to the first token as predicted, or the baseline's own measure; smaller is better. */
    double score = 0;
    /** Age of the load report; negative where there is none. */
    Milliseconds reportAge{-1};
    bool takesLongPrompts = false;
};

struct RoutingDecision
{
    RankedUpstream chosen;
    /** Engines that together hold a prompt larger than one engine's memory, the chosen one first; else empty. */
    std::vector<RankedUpstream> group;
    /** KV memory that each member of the group has to reserve. */
    Tokens memoryPerMember;
    /** The next best, best first; never leaving, never of another target. */
    std::vector<RankedUpstream> alternates;
    /**
     * Engine priority, smaller is more urgent: the latest start that still meets the targets, in milliseconds of
     * wall time. An absolute time keeps requests of several entries, sent at different moments, in one order.
     */
    std::int64_t priority = 0;
    /** From the time of the decision. */
    Milliseconds predictedFirstToken{0};
    Milliseconds predictedFinish{0};
    /** Prefill that was believed to be ahead of it; input to learning. */
    Tokens prefillAhead;
    /** Requests believed to be at the upstream before it; input to learning. */
    std::uint32_t requestsAhead = 0;
    std::uint32_t candidateCount = 0;
    /** Short and stable, for the log line. */
    std::string reason;
    Milliseconds listAge{0};
};

} // namespace magnolia::routing
