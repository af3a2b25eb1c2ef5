// The upstream chosen for an attempt, with the data for its call and its log entry.
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
    /** Priority of the request at the engine; smaller is more urgent. */
    std::int64_t priority = 0;
    std::string reason;
    /** The best candidates, best first, as `id:score`. */
    std::vector<std::string> ranking;
    std::uint64_t candidateCount = 0;
    Milliseconds listAge{0};
    /** Age of the chosen upstream's load report; negative if there is none. */
    Milliseconds reportAge{-1};
    Milliseconds predictedFirstToken{0};
    Milliseconds predictedFinish{0};
    /** Engines that jointly hold a prompt larger than one engine's memory, including the chosen one; else empty. */
    std::vector<kvmemory::GroupMember> group;
    Tokens memoryPerMember;
    /** Estimated prefill queued ahead of the request at dispatch. */
    Tokens prefillAhead;
};

} // namespace magnolia::entry
