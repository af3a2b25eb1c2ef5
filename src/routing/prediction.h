// Predicts the time to the first token and to the finish from learned rates and estimated load.
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
    /** Times for this request alone, without queueing. */
    FractionalSeconds unqueuedFirstToken{0};
    FractionalSeconds unqueuedFinish{0};
    Tokens prefillAhead;
    observing::LoadEstimate load;
    bool hasFreeMemory = true;
};

/** Largest share of an engine's KV memory that one long prompt may take. */
constexpr double maxPromptMemoryShare = 0.6;
/** Share of an engine's KV memory that long prompts leave free, so that short ones need not wait for a long one. */
constexpr double shortPromptMemoryReserveShare = 0.3;

[[nodiscard]] inline Tokens memoryNeeded(const RoutingRequest &request)
{
    return request.prompt + request.maxOutput;
}

/** Number of engines that the request needs to hold its KV memory. `memory` is that of one engine. */
[[nodiscard]] std::uint32_t enginesNeeded(const RoutingRequest &request, Tokens memory);

/** Prediction for the request on one upstream, or for one of `groupSize` equal parts of it. */
[[nodiscard]] Prediction predict(const RoutingRequest &request, const PublishedInstance &upstream,
    std::uint32_t groupSize, const RoutingContext &context, MonoTime now);

} // namespace magnolia::routing
