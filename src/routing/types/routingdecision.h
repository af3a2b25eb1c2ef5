// The routing decision for one request with the values it is based on; the entry logs it as one line.
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
    /** Predicted seconds to the first token plus penalties, or the baseline's own measure; lower is better. */
    double score = 0;
    /** Age of the load report; negative without one. */
    Milliseconds reportAge{-1};
    bool takesLongPrompts = false;
};

struct RoutingDecision
{
    RankedUpstream chosen;
    /** Engines that together hold a prompt larger than one engine's memory, `chosen` first; otherwise empty. */
    std::vector<RankedUpstream> group;
    /** KV memory that each member of the group has to reserve. */
    Tokens memoryPerMember;
    /** The next best upstreams, best first; none is leaving or serves another target. */
    std::vector<RankedUpstream> alternates;
    /**
     * Engine priority, lower is more urgent: the latest start that still meets the targets, in milliseconds of wall
     * time. An absolute time gives requests from several entries, sent at different times, one consistent order.
     */
    std::int64_t priority = 0;
    /** Measured from the time of the decision. */
    Milliseconds predictedFirstToken{0};
    Milliseconds predictedFinish{0};
    /** Prefill estimated to be queued ahead of the request; input to learning. */
    Tokens prefillAhead;
    /** Requests estimated to be at the upstream already; input to learning. */
    std::uint32_t requestsAhead = 0;
    std::uint32_t candidateCount = 0;
    /** Short fixed identifier for the log line. */
    std::string reason;
    Milliseconds listAge{0};
};

} // namespace magnolia::routing
