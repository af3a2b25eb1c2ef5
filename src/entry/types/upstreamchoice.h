// The upstream chosen for one attempt, with what its call and its log line need.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"
#include "kvmemory/types/groupplan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::entry
{

struct UpstreamChoice
{
    UpstreamId upstream;
    /** Address `ip:port`. */
    std::string address;
    /** Priority for the engine; smaller is more urgent. */
    std::int64_t priority = 0;
    std::string reason;
    /** Considered upstreams, best first, as `id:score`. */
    std::vector<std::string> ranking;
    std::uint64_t candidateCount = 0;
    Milliseconds listAge{0};
    /** Age of the chosen upstream's load report; negative where there is none. */
    Milliseconds reportAge{-1};
    Milliseconds predictedFirstToken{0};
    Milliseconds predictedFinish{0};
    /** Engines that together hold a prompt larger than one engine's memory, the chosen one among them; else empty. */
    std::vector<kvmemory::GroupMember> group;
    Tokens memoryPerMember;
    /** Prefill that was believed to be prefillAhead of the request; input to learning. */
    Tokens prefillAhead;
};

} // namespace magnolia::entry
