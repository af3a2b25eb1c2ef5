// Prediction of first token and finish from learned rates and estimated load.
#pragma once

#include "blackboard/types/publishedinstance.h"
#include "observing/learning.h"
#include "observing/types/loadestimate.h"
#include "routing/types/routingcontext.h"
#include "routing/types/routingrequest.h"

namespace magnolia::routing
{

using observing::FractionalSeconds;

struct Prediction
{
    FractionalSeconds firstToken{0};
    FractionalSeconds finish{0};
    /** Work of this request alone, without any wait. */
    FractionalSeconds unqueuedFirstToken{0};
    FractionalSeconds unqueuedFinish{0};
    Tokens prefillAhead;
    observing::LoadEstimate load;
    bool hasFreeMemory = true;
};

/** Share of an engine's KV memory that one long prompt may take. */
constexpr double maxPromptMemoryShare = 0.6;
/** Share of an engine's KV memory that long prompts leave free: short ones must not wait for a long one to end. */
constexpr double shortPromptMemoryReserveShare = 0.3;

[[nodiscard]] inline Tokens memoryNeeded(const RoutingRequest &request)
{
    return request.prompt + request.maxOutput;
}

/** Engines that a prompt needs together; 1 where one is enough. `memory` is that of one engine. */
[[nodiscard]] std::uint32_t enginesNeeded(const RoutingRequest &request, Tokens memory);

/** Prediction for the request, or its `parts`-th part, on one upstream. */
[[nodiscard]] Prediction predict(const RoutingRequest &request, const PublishedInstance &upstream,
    std::uint32_t groupSize, const RoutingContext &context, MonoTime now);

} // namespace magnolia::routing
