// What routing and admission know of one request.
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
    /** Model of a completion, or name of a plain service. */
    std::string target;
    Tokens prompt;
    Tokens maxOutput;
    MonoTime arrivedAt{};
    // Invariant: arrived <= firstTokenBy <= finishBy.
    MonoTime firstTokenDue{};
    MonoTime finishDue{};
    /** Upstreams that an earlier attempt of this request used. */
    std::vector<UpstreamId> triedUpstreams;
    /** Names the prompt's prefix where the caller's work tells it. */
    std::optional<std::uint64_t> prefixHash;
    /** Later start that admission gives an organisation beyond its max-min share; zero within it. */
    Milliseconds fairnessDelay{0};
    /** Whether the organisation takes several times an equal share, so that it is kept off some of the engines. */
    bool isHeavyOrganisation = false;
};

} // namespace magnolia::routing
