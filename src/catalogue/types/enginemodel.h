// Published performance model of a service's engines: prefill and decode times, and KV cache capacity.
#pragma once

#include <cstdint>

namespace magnolia::catalogue
{

/** Times in milliseconds and sizes in tokens, from the service's entry in the published configuration. */
struct EngineModel
{
    /** Maximum number of concurrent requests. */
    int slots = 1;
    /** KV cache capacity in tokens; 0 if unlimited. */
    double kvCapacityTokens = 0;
    /** Steps in a decode pass; a pass emits one event for each decoding request. */
    int stepsPerPass = 1;
    double stepMs = 1;
    /** Added to a step for each decoding request. */
    double decodeStepMsPerRequest = 0;
    /** Added to a step for each 1,000 context tokens of a decoding request. */
    double decodeStepMsPerThousandTokens = 0;
    /** Prompt tokens prefilled per millisecond, excluding the quadratic attention cost. */
    double prefillTokensPerMs = 1;
    /** Attention cost: added to a prefill for each million pairs of a token and an earlier one. */
    double attentionMsPerMillionPairs = 0;
    /** Maximum number of prompt tokens prefilled in one step. */
    double chunkTokens = 1;
    /** Added to each decode step of a request whose prefill was split over several engines. */
    double hopMs = 0;
};

} // namespace magnolia::catalogue
