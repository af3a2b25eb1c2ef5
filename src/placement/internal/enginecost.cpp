// Times of one engine.
#include "placement/enginecost.h"

#include <algorithm>

namespace magnolia::placement
{

double readMs(const catalogue::EngineModel &engine, double promptTokens)
{
    const double pairs = promptTokens * promptTokens / 2.0 / 1e6;
    return promptTokens / std::max(engine.readTokensPerMs, 1e-6) + engine.pairMsPerMillion * pairs;
}

double writePassMs(const catalogue::EngineModel &engine, int writers, double contextTokens)
{
    const double step
        = engine.stepMs + engine.writerMs * writers + engine.contextMsPerThousand * contextTokens / 1000.0;
    return step * std::max(engine.stepsPerPass, 1);
}

double readMsInPass(const catalogue::EngineModel &engine, double promptTokens)
{
    const double inPass = engine.chunkTokens * std::max(engine.stepsPerPass, 1);
    if (promptTokens <= inPass) {
        return readMs(engine, promptTokens);
    }
    // The last chunks of a prompt are the dearest, since each token pairs with all before it.
    return readMs(engine, promptTokens) - readMs(engine, promptTokens - inPass);
}

} // namespace magnolia::placement
