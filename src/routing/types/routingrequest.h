// The properties of a request that routing and admission use.
#pragma once

#include "blackboard/types/requestclass.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::routing
{

struct RoutingRequest
{
    RequestId id;
    ClassId classId;
    RequestKind kind = RequestKind::Model;
    OrganisationId organisation;
    /** Model of a completion or name of a plain service. */
    std::string target;
    Tokens prompt;
    Tokens maxOutput;
    MonoTime arrivedAt{};
    // Invariant: arrivedAt <= firstTokenDue <= finishDue.
    MonoTime firstTokenDue{};
    MonoTime finishDue{};
    /** Upstreams used by earlier attempts of this request. */
    std::vector<UpstreamId> triedUpstreams;
    /** Identifies the prompt's prefix, if known. */
    std::optional<std::uint64_t> prefixHash;
    /** Delay that admission adds to the start for an organisation above an equal share; zero within it. */
    Milliseconds fairnessDelay{0};
    /** Whether the organisation uses several times an equal share, so that some engines are avoided for it. */
    bool isHeavyOrganisation = false;
};

} // namespace magnolia::routing
