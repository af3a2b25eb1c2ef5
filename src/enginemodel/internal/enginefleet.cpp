// What the engines do to each other: parts that are read for another, and memory that is held for it.
#include "enginemodel/enginefleet.h"

#include "enginemodel/internal/engine.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace magnolia::enginemodel
{

namespace
{

/** Requests that an engine keeps waiting beside those in its slots; the published queue of engines. */
constexpr std::size_t queueLength = 32;

} // namespace

struct EngineFleet::Parts
{
    catalogue::EngineModel model;
    IEngineFleetUser &user;
    std::vector<Engine> engines;
    std::unordered_map<JobId, std::unique_ptr<JobState>> jobs;
    std::uint64_t arrivals = 0;
    std::size_t preemptions = 0;
    // The engine whose pass is being closed.
    const Engine *ending = nullptr;

    void wake(EngineIndex index, MonoTime now);
    void endPass(EngineIndex index);
    void onPartRead(JobState &state, MonoTime now);
    /** First events of requests whose last part was read. */
    void emitFirst(Engine &engine, MonoTime now);
    void emit(JobState &state, MonoTime now);
    void preempt(Engine &engine);
    void remove(JobState &state);
};

EngineFleet::EngineFleet(const catalogue::EngineModel &model, std::size_t engines, IEngineFleetUser &user)
    : m_parts(std::make_unique<Parts>(Parts{model, user, std::vector<Engine>(engines), {}, 0, 0, nullptr}))
{
}

EngineFleet::~EngineFleet() = default;

void EngineFleet::setPace(EngineIndex engine, double pace)
{
    m_parts->engines.at(engine).pace = pace;
}

void EngineFleet::submit(const ModelJob &job, MonoTime now)
{
    Parts &parts = *m_parts;
    Engine &first = parts.engines.at(job.engine);
    auto made = std::make_unique<JobState>();
    JobState &state = *made;
    state.job = job;
    state.arrival = ++parts.arrivals;
    state.readTokens = job.promptTokens;
    state.ownTokens = job.promptTokens / static_cast<double>(state.parts());
    state.partsLeft = state.parts();
    const bool isTooLarge = parts.model.kvCapacityTokens > 0 && state.memoryAtFirst() > parts.model.kvCapacityTokens;
    const bool isHelperFull = std::any_of(job.helpers.begin(), job.helpers.end(), [&](EngineIndex it) {
        return static_cast<int>(parts.engines.at(it).parts.size()) >= std::max(parts.model.slots, 1);
    });
    if (isTooLarge || isHelperFull || first.waiting.size() >= queueLength) {
        parts.user.onRefused(job.id, now);
        return;
    }
    parts.jobs[job.id] = std::move(made);
    const auto place = std::find_if(first.waiting.begin(), first.waiting.end(), [&](const JobState *it) {
        return it->job.priority > job.priority;
    });
    first.waiting.insert(place, &state);
    for (const EngineIndex it : job.helpers) {
        Engine &helper = parts.engines.at(it);
        helper.parts.push_back({&state, state.ownTokens, 0});
        if (job.ticketTokens > 0) {
            helper.held.push_back(&state);
        }
        parts.wake(it, now);
    }
    parts.wake(job.engine, now);
}

void EngineFleet::cancel(JobId job, MonoTime now)
{
    const auto it = m_parts->jobs.find(job);
    if (it == m_parts->jobs.end()) {
        return;
    }
    const ModelJob gone = it->second->job;
    m_parts->remove(*it->second);
    m_parts->wake(gone.engine, now);
}

std::optional<MonoTime> EngineFleet::nextAt() const
{
    std::optional<MonoTime> next;
    for (const Engine &it : m_parts->engines) {
        if (it.passEndsAt && (!next || *it.passEndsAt < *next)) {
            next = it.passEndsAt;
        }
    }
    return next;
}

void EngineFleet::advanceTo(MonoTime now)
{
    while (true) {
        const auto next = nextAt();
        if (!next || *next > now) {
            return;
        }
        for (EngineIndex i = 0; i < m_parts->engines.size(); ++i) {
            if (m_parts->engines[i].passEndsAt == next) {
                m_parts->endPass(i);
            }
        }
    }
}

std::size_t EngineFleet::requestsOf(EngineIndex engine) const
{
    const Engine &it = m_parts->engines.at(engine);
    return it.waiting.size() + it.admitted.size();
}

double EngineFleet::busyMs(EngineIndex engine) const
{
    return m_parts->engines.at(engine).busyMs;
}

std::size_t EngineFleet::preemptions() const
{
    return m_parts->preemptions;
}

void EngineFleet::Parts::wake(EngineIndex index, MonoTime now)
{
    Engine &engine = engines[index];
    if (!engine.passEndsAt) {
        beginPass(model, engine, now);
    }
}

void EngineFleet::Parts::endPass(EngineIndex index)
{
    Engine &engine = engines[index];
    const MonoTime now = *engine.passEndsAt;
    engine.passEndsAt.reset();
    const auto reads = std::move(engine.passReads);
    const auto writers = std::move(engine.passWriters);
    engine.passReads.clear();
    engine.passWriters.clear();
    ending = &engine;
    for (const Engine::PassRead &it : reads) {
        if (!it.isPart) {
            it.state->ownRead += it.tokens;
            if (it.state->ownRead >= it.state->ownTokens) {
                onPartRead(*it.state, now);
            }
            continue;
        }
        const auto part = std::find_if(engine.parts.begin(), engine.parts.end(), [&](const PartRead &read) {
            return read.state == it.state;
        });
        part->read += it.tokens;
        if (part->read >= part->tokens) {
            engine.parts.erase(part);
            onPartRead(*it.state, now);
        }
    }
    for (JobState *it : writers) {
        emit(*it, now);
    }
    emitFirst(engine, now);
    preempt(engine);
    ending = nullptr;
    wake(index, now);
}

void EngineFleet::Parts::onPartRead(JobState &state, MonoTime now)
{
    if (--state.partsLeft > 0) {
        return;
    }
    state.isFirstDue = true;
    // Its first event may be its last, after which it is gone.
    const EngineIndex index = state.job.engine;
    Engine &first = engines[index];
    // A pass under way there closes with the first event; the engine whose pass ends now comes to it by itself.
    if (!first.passEndsAt && &first != ending) {
        emitFirst(first, now);
        wake(index, now);
    }
}

void EngineFleet::Parts::emitFirst(Engine &engine, MonoTime now)
{
    std::vector<JobState *> due;
    std::copy_if(engine.admitted.begin(), engine.admitted.end(), std::back_inserter(due), [](const JobState *it) {
        return it->isFirstDue;
    });
    for (JobState *it : due) {
        it->isFirstDue = false;
        it->isWriting = true;
        emit(*it, now);
    }
}

void EngineFleet::Parts::emit(JobState &state, MonoTime now)
{
    state.written += model.stepsPerPass;
    const JobId id = state.job.id;
    user.onEvent(id, now);
    // The user may have cancelled it.
    const auto known = jobs.find(id);
    if (known != jobs.end() && known->second->written >= known->second->job.outputTokens) {
        remove(*known->second);
        user.onDone(id, now);
    }
}

/** The newest goes back to the queue until the rest has room; what it had written is read again with its prompt. */
void EngineFleet::Parts::preempt(Engine &engine)
{
    while (model.kvCapacityTokens > 0 && engine.admitted.size() > 1 && memoryInUse(engine) > model.kvCapacityTokens) {
        const auto newest = std::max_element(
            engine.admitted.begin(), engine.admitted.end(), [](const JobState *a, const JobState *b) {
                return a->arrival < b->arrival;
            });
        JobState *state = *newest;
        engine.admitted.erase(newest);
        ++preemptions;
        state->isAdmitted = false;
        state->isWriting = false;
        state->ownTokens = state->job.promptTokens / static_cast<double>(state->parts()) + state->written;
        state->readTokens = state->job.promptTokens + state->written;
        state->ownRead = 0;
        state->partsLeft = 1;
        engine.waiting.insert(engine.waiting.begin(), state);
    }
}

void EngineFleet::Parts::remove(JobState &state)
{
    const ModelJob job = state.job;
    forget(engines[job.engine], &state);
    for (const EngineIndex it : job.helpers) {
        forget(engines[it], &state);
    }
    jobs.erase(job.id);
}

} // namespace magnolia::enginemodel
