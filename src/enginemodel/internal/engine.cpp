// The passes of one engine.
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

/** Milliseconds for the next `tokens` of a prompt read alone, of which `read` are read already. */
double ownReadMs(const catalogue::EngineModel &model, double read, double tokens)
{
    const double pairs = tokens * (read + tokens / 2);
    return tokens / std::max(model.prefillTokensPerMs, 1e-6)
        + model.attentionMsPerMillionPairs * pairs / pairsPerMillion;
}

/** The same for a part, which has its share of the pairs of the whole prompt throughout. */
double partReadMs(const catalogue::EngineModel &model, double wholeTokens, double tokens)
{
    const double pairs = tokens * wholeTokens / 2;
    return tokens / std::max(model.prefillTokensPerMs, 1e-6)
        + model.attentionMsPerMillionPairs * pairs / pairsPerMillion;
}

/** Milliseconds that one step takes longer for `writer`. */
double writerStepMs(const catalogue::EngineModel &model, const JobState &writer)
{
    const bool isSplit = writer.parts() > 1;
    const double whole = writer.job.promptTokens + writer.written;
    const double context = isSplit ? writer.job.promptTokens / static_cast<double>(writer.parts()) : whole;
    return model.decodeStepMsPerRequest + model.decodeStepMsPerThousandTokens * context / tokensPerThousand
        + (isSplit ? model.hopMs : 0);
}

} // namespace

double JobState::memoryAtFirst() const
{
    const double elsewhere = job.ticketTokens * static_cast<double>(job.helpers.size());
    return std::max(0.0, job.promptTokens - elsewhere) + written;
}

double memoryInUse(const Engine &engine)
{
    double tokens = 0;
    for (const JobState *it : engine.admitted) {
        tokens += it->memoryAtFirst();
    }
    for (const JobState *it : engine.held) {
        tokens += it->job.ticketTokens;
    }
    return tokens;
}

void admit(const catalogue::EngineModel &model, Engine &engine)
{
    double used = memoryInUse(engine);
    while (!engine.waiting.empty() && static_cast<int>(engine.admitted.size()) < std::max(model.slots, 1)) {
        JobState *first = engine.waiting.front();
        const double needed = first->memoryAtFirst();
        if (model.kvCapacityTokens > 0 && used + needed > model.kvCapacityTokens && !engine.admitted.empty()) {
            return;
        }
        used += needed;
        first->isAdmitted = true;
        engine.admitted.push_back(first);
        engine.waiting.erase(engine.waiting.begin());
    }
}

void beginPass(const catalogue::EngineModel &model, Engine &engine, MonoTime now)
{
    admit(model, engine);
    engine.passReads.clear();
    engine.passWriters.clear();
    double stepMs = model.stepMs;
    for (JobState *it : engine.admitted) {
        if (it->isWriting) {
            engine.passWriters.push_back(it);
            stepMs += writerStepMs(model, *it);
        }
    }
    for (const JobState *it : engine.held) {
        if (it->isWriting) {
            stepMs += model.decodeStepMsPerThousandTokens * it->job.ticketTokens / tokensPerThousand;
        }
    }
    const int steps = engine.passWriters.empty() ? 1 : std::max(model.stepsPerPass, 1);
    double room = model.chunkTokens * steps;
    double readMs = 0;
    for (const PartRead &it : engine.parts) {
        const double tokens = std::min(room, it.tokens - it.read);
        if (tokens > 0) {
            engine.passReads.push_back({it.state, true, tokens});
            readMs += partReadMs(model, it.state->job.promptTokens, tokens);
            room -= tokens;
        }
    }
    for (JobState *it : engine.admitted) {
        const double tokens = std::min(room, it->ownTokens - it->ownRead);
        if (!it->isWriting && tokens > 0) {
            engine.passReads.push_back({it, false, tokens});
            readMs
                += it->parts() > 1 ? partReadMs(model, it->readTokens, tokens) : ownReadMs(model, it->ownRead, tokens);
            room -= tokens;
        }
    }
    if (engine.passReads.empty() && engine.passWriters.empty()) {
        engine.passEndsAt.reset();
        return;
    }
    const double ms = (stepMs * steps + readMs) * engine.pace;
    engine.passBeganAt = now;
    engine.passEndsAt = now + toDuration(ms);
    engine.busyMs += ms;
}

void forget(Engine &engine, const JobState *state)
{
    const auto isIt = [state](const auto &it) {
        return it.state == state;
    };
    std::erase(engine.waiting, state);
    std::erase(engine.admitted, state);
    std::erase(engine.held, state);
    std::erase(engine.passWriters, state);
    std::erase_if(engine.parts, isIt);
    std::erase_if(engine.passReads, isIt);
}

} // namespace magnolia::enginemodel
