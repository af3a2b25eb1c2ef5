// Dispatch of requests to the engines, prompts that several engines prefill in parts, and preemption.
#include "enginemodel/enginefleet.h"

#include "enginemodel/internal/engine.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>

namespace magnolia::enginemodel
{

namespace
{

/** Requests that wait at an engine in addition to those in its slots; the published queue length of the engines. */
constexpr std::size_t maxWaitingJobs = 32;

} // namespace

struct EngineFleet::Impl
{
    catalogue::EngineModel model;
    IEngineFleetListener &listener;
    std::vector<Engine> engines;
    std::unordered_map<JobId, std::unique_ptr<JobState>> jobs;
    std::uint64_t arrivalCount = 0;
    std::size_t preemptionCount = 0;
    // The engine whose pass is being finished; null outside of finishPass().
    const Engine *finishingEngine = nullptr;
    // Engines that crash at the end of the pass that is being finished.
    std::vector<EngineIndex> crashing;

    void startPassIfIdle(EngineIndex index, MonoTime now);
    void finishPass(EngineIndex index);
    void onPartPrefilled(JobState &state, MonoTime now);
    /** Emits the first events of requests whose prompt has been prefilled completely. */
    void emitFirstEvents(Engine &engine, MonoTime now);
    void emitEvent(JobState &state, MonoTime now);
    void preempt(Engine &engine);
    void removeJob(JobState &state);
};

EngineFleet::EngineFleet(const catalogue::EngineModel &model, std::size_t engineCount, IEngineFleetListener &listener)
    : m_impl(std::make_unique<Impl>(Impl{model, listener, std::vector<Engine>(engineCount), {}, 0, 0, nullptr, {}}))
{
}

EngineFleet::~EngineFleet() = default;

void EngineFleet::setSlowdown(EngineIndex engine, double slowdown)
{
    m_impl->engines.at(engine).slowdown = slowdown;
}

void EngineFleet::submit(const ModelJob &job, MonoTime now)
{
    Impl &impl = *m_impl;
    Engine &primary = impl.engines.at(job.primary);
    auto ownedState = std::make_unique<JobState>();
    JobState &state = *ownedState;
    state.job = job;
    state.arrivalNumber = ++impl.arrivalCount;
    state.totalPrefillTokens = job.promptTokens;
    state.primaryPartTokens = job.promptTokens / static_cast<double>(state.partCount());
    state.remainingParts = state.partCount();
    const bool isTooLarge
        = impl.model.kvCapacityTokens > 0 && state.primaryMemoryTokens() > impl.model.kvCapacityTokens;
    const bool isHelperFull = std::any_of(job.helpers.begin(), job.helpers.end(), [&](EngineIndex it) {
        return static_cast<int>(impl.engines.at(it).helperParts.size()) >= std::max(impl.model.slots, 1);
    });
    const bool isDown = !primary.isRunning || std::any_of(job.helpers.begin(), job.helpers.end(), [&](EngineIndex it) {
        return !impl.engines.at(it).isRunning;
    });
    if (isDown || isTooLarge || isHelperFull || primary.waiting.size() >= maxWaitingJobs) {
        impl.listener.onRefused(job.id, now);
        return;
    }
    impl.jobs[job.id] = std::move(ownedState);
    const auto position = std::find_if(primary.waiting.begin(), primary.waiting.end(), [&](const JobState *it) {
        return it->job.priority > job.priority;
    });
    primary.waiting.insert(position, &state);
    for (const EngineIndex it : job.helpers) {
        Engine &helper = impl.engines.at(it);
        helper.helperParts.push_back({&state, state.primaryPartTokens, 0});
        if (job.reservedTokensPerHelper > 0) {
            helper.reservedJobs.push_back(&state);
        }
        impl.startPassIfIdle(it, now);
    }
    impl.startPassIfIdle(job.primary, now);
}

void EngineFleet::cancel(JobId job, MonoTime now)
{
    const auto it = m_impl->jobs.find(job);
    if (it == m_impl->jobs.end()) {
        return;
    }
    const ModelJob cancelledJob = it->second->job;
    m_impl->removeJob(*it->second);
    m_impl->startPassIfIdle(cancelledJob.primary, now);
}

void EngineFleet::crash(EngineIndex engine, MonoTime now)
{
    Engine &crashed = m_impl->engines.at(engine);
    std::vector<ModelJob> broken;
    for (const auto &[id, state] : m_impl->jobs) {
        const auto &helpers = state->job.helpers;
        if (state->job.primary == engine || std::find(helpers.begin(), helpers.end(), engine) != helpers.end()) {
            broken.push_back(state->job);
        }
    }
    std::sort(broken.begin(), broken.end(), [](const ModelJob &a, const ModelJob &b) {
        return a.id < b.id;
    });
    for (const ModelJob &it : broken) {
        m_impl->removeJob(*m_impl->jobs.at(it.id));
    }
    crashed.isRunning = false;
    crashed.passEndsAt.reset();
    for (const ModelJob &it : broken) {
        m_impl->listener.onBroken(it.id, engine, now);
    }
}

void EngineFleet::restart(EngineIndex engine)
{
    m_impl->engines.at(engine).isRunning = true;
}

bool EngineFleet::isRunning(EngineIndex engine) const
{
    return m_impl->engines.at(engine).isRunning;
}

std::optional<MonoTime> EngineFleet::nextPassEnd() const
{
    std::optional<MonoTime> next;
    for (const Engine &it : m_impl->engines) {
        if (it.passEndsAt && (!next || *it.passEndsAt < *next)) {
            next = it.passEndsAt;
        }
    }
    return next;
}

void EngineFleet::advanceTo(MonoTime now)
{
    while (true) {
        const auto next = nextPassEnd();
        if (!next || *next > now) {
            return;
        }
        for (EngineIndex i = 0; i < m_impl->engines.size(); ++i) {
            if (m_impl->engines[i].passEndsAt == next) {
                m_impl->finishPass(i);
            }
            for (const EngineIndex it : std::exchange(m_impl->crashing, {})) {
                crash(it, *next);
            }
        }
    }
}

std::size_t EngineFleet::requestCount(EngineIndex engine) const
{
    const Engine &it = m_impl->engines.at(engine);
    return it.waiting.size() + it.admitted.size();
}

double EngineFleet::busyMs(EngineIndex engine) const
{
    return m_impl->engines.at(engine).busyMs;
}

std::size_t EngineFleet::preemptionCount() const
{
    return m_impl->preemptionCount;
}

void EngineFleet::Impl::startPassIfIdle(EngineIndex index, MonoTime now)
{
    Engine &engine = engines[index];
    if (!engine.passEndsAt) {
        startPass(model, engine, now);
    }
}

void EngineFleet::Impl::finishPass(EngineIndex index)
{
    Engine &engine = engines[index];
    const MonoTime now = *engine.passEndsAt;
    engine.passEndsAt.reset();
    const auto passPrefills = std::move(engine.passPrefills);
    const auto passDecodes = std::move(engine.passDecodes);
    engine.passPrefills.clear();
    engine.passDecodes.clear();
    finishingEngine = &engine;
    for (const Engine::PassPrefill &it : passPrefills) {
        if (!it.isHelperPart) {
            it.state->primaryPrefilledTokens += it.tokens;
            if (it.state->primaryPrefilledTokens >= it.state->primaryPartTokens) {
                onPartPrefilled(*it.state, now);
            }
            continue;
        }
        const auto part
            = std::find_if(engine.helperParts.begin(), engine.helperParts.end(), [&](const HelperPart &candidate) {
                  return candidate.state == it.state;
              });
        part->prefilledTokens += it.tokens;
        if (part->prefilledTokens >= part->tokens) {
            engine.helperParts.erase(part);
            onPartPrefilled(*it.state, now);
        }
    }
    for (JobState *it : passDecodes) {
        emitEvent(*it, now);
    }
    emitFirstEvents(engine, now);
    preempt(engine);
    finishingEngine = nullptr;
    startPassIfIdle(index, now);
}

void EngineFleet::Impl::onPartPrefilled(JobState &state, MonoTime now)
{
    if (--state.remainingParts > 0) {
        return;
    }
    state.isFirstEventDue = true;
    // Copied because emitting the first event destroys `state` if it is also the last one.
    const EngineIndex index = state.job.primary;
    Engine &primary = engines[index];
    // A running pass of the primary emits the first event when it ends; finishPass() emits it for its own engine.
    if (!primary.passEndsAt && &primary != finishingEngine) {
        emitFirstEvents(primary, now);
        startPassIfIdle(index, now);
    }
}

void EngineFleet::Impl::emitFirstEvents(Engine &engine, MonoTime now)
{
    std::vector<JobState *> due;
    std::copy_if(engine.admitted.begin(), engine.admitted.end(), std::back_inserter(due), [](const JobState *it) {
        return it->isFirstEventDue;
    });
    if (std::any_of(due.begin(), due.end(), [](const JobState *it) {
            return it->job.isCrashing;
        })) {
        crashing.push_back(due.front()->job.primary);
        return;
    }
    for (JobState *it : due) {
        it->isFirstEventDue = false;
        it->isDecoding = true;
        emitEvent(*it, now);
    }
}

void EngineFleet::Impl::emitEvent(JobState &state, MonoTime now)
{
    state.generatedTokens += model.stepsPerPass;
    const JobId id = state.job.id;
    listener.onEvent(id, now);
    // The listener may have cancelled the request.
    const auto known = jobs.find(id);
    if (known != jobs.end() && known->second->generatedTokens >= known->second->job.outputTokens) {
        removeJob(*known->second);
        listener.onDone(id, now);
    }
}

/**
 * Returns the newest requests to the queue until the others fit into memory. The prompt of a preempted request and the
 * tokens that it has generated are prefilled again.
 */
void EngineFleet::Impl::preempt(Engine &engine)
{
    while (
        model.kvCapacityTokens > 0 && engine.admitted.size() > 1 && usedMemoryTokens(engine) > model.kvCapacityTokens) {
        const auto newest = std::max_element(
            engine.admitted.begin(), engine.admitted.end(), [](const JobState *a, const JobState *b) {
                return a->arrivalNumber < b->arrivalNumber;
            });
        JobState *state = *newest;
        engine.admitted.erase(newest);
        ++preemptionCount;
        state->isAdmitted = false;
        state->isDecoding = false;
        state->primaryPartTokens
            = state->job.promptTokens / static_cast<double>(state->partCount()) + state->generatedTokens;
        state->totalPrefillTokens = state->job.promptTokens + state->generatedTokens;
        state->primaryPrefilledTokens = 0;
        state->remainingParts = 1;
        engine.waiting.insert(engine.waiting.begin(), state);
    }
}

void EngineFleet::Impl::removeJob(JobState &state)
{
    const ModelJob job = state.job;
    removeFromEngine(engines[job.primary], &state);
    for (const EngineIndex it : job.helpers) {
        removeFromEngine(engines[it], &state);
    }
    jobs.erase(job.id);
}

} // namespace magnolia::enginemodel
