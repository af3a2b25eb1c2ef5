// Prefill and decode times of an engine.
#include "placement/enginecost.h"

#include <algorithm>

namespace magnolia::placement
{

double prefillMs(const catalogue::EngineModel &engine, double promptTokens)
{
    const double pairs = promptTokens * promptTokens / 2.0 / 1e6;
    return promptTokens / std::max(engine.prefillTokensPerMs, 1e-6) + engine.attentionMsPerMillionPairs * pairs;
}

double remainingOutputTokens(const catalogue::EngineModel &engine, double outputTokens, std::uint64_t receivedEvents)
{
    const double tokensPerEvent = std::max(engine.stepsPerPass, 1);
    return std::max(
        std::min(outputTokens, tokensPerEvent), outputTokens - static_cast<double>(receivedEvents) * tokensPerEvent);
}

double decodePassMs(const catalogue::EngineModel &engine, int decodingRequests, double contextTokens)
{
    const double step = engine.stepMs + engine.decodeStepMsPerRequest * decodingRequests
        + engine.decodeStepMsPerThousandTokens * contextTokens / 1000.0;
    return step * std::max(engine.stepsPerPass, 1);
}

double maxPrefillMsInPass(const catalogue::EngineModel &engine, double promptTokens)
{
    const double maxTokensInPass = engine.chunkTokens * std::max(engine.stepsPerPass, 1);
    if (promptTokens <= maxTokensInPass) {
        return prefillMs(engine, promptTokens);
    }
    // The last chunks of a prompt are the most expensive, since each token attends to all earlier ones.
    return prefillMs(engine, promptTokens) - prefillMs(engine, promptTokens - maxTokensInPass);
}

} // namespace magnolia::placement
