// What a service publishes of its engines: how long they read and write, and what they hold.
#pragma once

#include <cstdint>

namespace magnolia::catalogue
{

/** Times in milliseconds and sizes in tokens, as published; the source is the service's entry in the configuration. */
struct EngineModel
{
    /** Requests that run at once. */
    int slots = 1;
    /** Tokens that the memory holds. */
    double kvCapacityTokens = 0;
    /** Steps of a pass that writes; a pass emits one event for each writer. */
    int stepsPerPass = 1;
    double stepMs = 1;
    /** Added to a step for each writer. */
    double decodeStepMsPerRequest = 0;
    /** Added to a step for each 1,000 tokens of a writer's context. */
    double decodeStepMsPerThousandTokens = 0;
    /** Prompt tokens read in a millisecond, before the cost of pairs. */
    double prefillTokensPerMs = 1;
    /** Added for each million pairs of a token and an earlier one. */
    double attentionMsPerMillionPairs = 0;
    /** Most prompt tokens read in one step. */
    double chunkTokens = 1;
    /** Added to each step of a request that was read by several engines. */
    double hopMs = 0;
};

} // namespace magnolia::catalogue
