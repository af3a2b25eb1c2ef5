// One engine of the model: its queue, what it reads and writes, and the pass under way.
#pragma once

#include "enginemodel/types/modeljob.h"

#include "catalogue/types/enginemodel.h"
#include "framework/global/types/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace magnolia::enginemodel
{

/** A request, kept by its fleet; engines refer to it. */
struct JobState
{
    ModelJob job;
    std::uint64_t arrival = 0;
    /** Tokens that the first engine has to read: its part, or after a preemption all that was there. */
    double ownTokens = 0;
    double ownRead = 0;
    /** Tokens of the whole prompt; what its pairs are counted over. */
    double readTokens = 0;
    std::size_t partsLeft = 0;
    double written = 0;
    bool isAdmitted = false;
    bool isWriting = false;
    /** All parts are read; the pass under way closes with its first event. */
    bool isFirstDue = false;

    /** Parts that the prompt is read in, this engine's own included. */
    [[nodiscard]] std::size_t parts() const
    {
        return job.helpers.size() + 1;
    }
    [[nodiscard]] double memoryAtFirst() const;
};

/** A part of a prompt that is read for another engine. */
struct PartRead
{
    JobState *state = nullptr;
    double tokens = 0;
    double read = 0;
};

struct Engine
{
    double pace = 1;
    // Invariant: sorted by priority, then arrival; none is admitted.
    std::vector<JobState *> waiting;
    // In the order of admission.
    std::vector<JobState *> admitted;
    std::deque<PartRead> parts;
    // Jobs of other engines whose memory lies here.
    std::vector<JobState *> held;
    // What the pass under way reads, own prompts and parts in the order of the queues.
    struct PassRead
    {
        JobState *state = nullptr;
        bool isPart = false;
        double tokens = 0;
    };
    std::vector<PassRead> passReads;
    std::vector<JobState *> passWriters;
    std::optional<MonoTime> passEndsAt;
    MonoTime passBeganAt{};
    double busyMs = 0;
};

/** Tokens of memory in use, tickets included. */
[[nodiscard]] double memoryInUse(const Engine &engine);

/** Moves requests from the queue into slots while there is memory for them. */
void admit(const catalogue::EngineModel &model, Engine &engine);

/** Begins the next pass at `now`, where there is anything to do. */
void beginPass(const catalogue::EngineModel &model, Engine &engine, MonoTime now);

/** Forgets `state` in all lists of `engine`. */
void forget(Engine &engine, const JobState *state);

} // namespace magnolia::enginemodel
