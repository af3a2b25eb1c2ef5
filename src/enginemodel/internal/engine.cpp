// Duration and contents of the passes of one engine.
#include "enginemodel/internal/engine.h"

#include <algorithm>

namespace magnolia::enginemodel
{

namespace
{

constexpr double tokensPerThousand = 1000;
constexpr double pairsPerMillion = 1e6;

MonoTime::duration toDuration(double ms)
{
    return std::chrono::duration_cast<MonoTime::duration>(std::chrono::duration<double, std::milli>(ms));
}

/** Milliseconds to prefill the next `tokens` of an undivided prompt after its first `prefilledTokens`. */
double promptPrefillMs(const catalogue::EngineModel &model, double prefilledTokens, double tokens)
{
    const double pairs = tokens * (prefilledTokens + tokens / 2);
    return tokens / std::max(model.prefillTokensPerMs, 1e-6)
        + model.attentionMsPerMillionPairs * pairs / pairsPerMillion;
}

/**
 * Milliseconds to prefill `tokens` of one part of a divided prompt. The attention pairs of the whole prompt are spread
 * evenly over its tokens, so that the cost does not depend on the position within the part.
 */
double partPrefillMs(const catalogue::EngineModel &model, double promptTokens, double tokens)
{
    const double pairs = tokens * promptTokens / 2;
    return tokens / std::max(model.prefillTokensPerMs, 1e-6)
        + model.attentionMsPerMillionPairs * pairs / pairsPerMillion;
}

/** Milliseconds that decoding one request adds to a step. */
double decodeStepMs(const catalogue::EngineModel &model, const JobState &state)
{
    const bool isSplit = state.partCount() > 1;
    const double fullContext = state.job.promptTokens + state.generatedTokens;
    const double localContext = isSplit ? state.job.promptTokens / static_cast<double>(state.partCount()) : fullContext;
    return model.decodeStepMsPerRequest + model.decodeStepMsPerThousandTokens * localContext / tokensPerThousand
        + (isSplit ? model.hopMs : 0);
}

} // namespace

double JobState::primaryMemoryTokens() const
{
    const double helperTokens = job.reservedTokensPerHelper * static_cast<double>(job.helpers.size());
    return std::max(0.0, job.promptTokens - helperTokens) + generatedTokens;
}

double usedMemoryTokens(const Engine &engine)
{
    double tokens = 0;
    for (const JobState *it : engine.admitted) {
        tokens += it->primaryMemoryTokens();
    }
    for (const JobState *it : engine.reservedJobs) {
        tokens += it->job.reservedTokensPerHelper;
    }
    return tokens;
}

void admitJobs(const catalogue::EngineModel &model, Engine &engine)
{
    double usedTokens = usedMemoryTokens(engine);
    while (!engine.waiting.empty() && static_cast<int>(engine.admitted.size()) < std::max(model.slots, 1)) {
        JobState *next = engine.waiting.front();
        const double neededTokens = next->primaryMemoryTokens();
        if (model.kvCapacityTokens > 0 && usedTokens + neededTokens > model.kvCapacityTokens
            && !engine.admitted.empty()) {
            return;
        }
        usedTokens += neededTokens;
        next->isAdmitted = true;
        engine.admitted.push_back(next);
        engine.waiting.erase(engine.waiting.begin());
    }
}

void startPass(const catalogue::EngineModel &model, Engine &engine, MonoTime now)
{
    admitJobs(model, engine);
    engine.passPrefills.clear();
    engine.passDecodes.clear();
    double stepMs = model.stepMs;
    for (JobState *it : engine.admitted) {
        if (it->isDecoding) {
            engine.passDecodes.push_back(it);
            stepMs += decodeStepMs(model, *it);
        }
    }
    for (const JobState *it : engine.reservedJobs) {
        if (it->isDecoding) {
            stepMs += model.decodeStepMsPerThousandTokens * it->job.reservedTokensPerHelper / tokensPerThousand;
        }
    }
    const int steps = engine.passDecodes.empty() ? 1 : std::max(model.stepsPerPass, 1);
    double tokenBudget = model.chunkTokens * steps;
    double prefillMs = 0;
    for (const HelperPart &it : engine.helperParts) {
        const double tokens = std::min(tokenBudget, it.tokens - it.prefilledTokens);
        if (tokens > 0) {
            engine.passPrefills.push_back({it.state, true, tokens});
            prefillMs += partPrefillMs(model, it.state->job.promptTokens, tokens);
            tokenBudget -= tokens;
        }
    }
    for (JobState *it : engine.admitted) {
        const double tokens = std::min(tokenBudget, it->primaryPartTokens - it->primaryPrefilledTokens);
        if (!it->isDecoding && tokens > 0) {
            engine.passPrefills.push_back({it, false, tokens});
            prefillMs += it->partCount() > 1 ? partPrefillMs(model, it->totalPrefillTokens, tokens)
                                             : promptPrefillMs(model, it->primaryPrefilledTokens, tokens);
            tokenBudget -= tokens;
        }
    }
    if (engine.passPrefills.empty() && engine.passDecodes.empty()) {
        engine.passEndsAt.reset();
        return;
    }
    const double ms = (stepMs * steps + prefillMs) * engine.slowdown;
    engine.passStartedAt = now;
    engine.passEndsAt = now + toDuration(ms);
    engine.busyMs += ms;
}

void removeFromEngine(Engine &engine, const JobState *state)
{
    const auto isSameJob = [state](const auto &it) {
        return it.state == state;
    };
    std::erase(engine.waiting, state);
    std::erase(engine.admitted, state);
    std::erase(engine.reservedJobs, state);
    std::erase(engine.passDecodes, state);
    std::erase_if(engine.helperParts, isSameJob);
    std::erase_if(engine.passPrefills, isSameJob);
}

} // namespace magnolia::enginemodel
