// State of one modelled engine: its queue, the requests that it prefills and decodes, and the current pass.
#pragma once

#include "enginemodel/types/modeljob.h"

#include "catalogue/types/enginemodel.h"
#include "framework/global/types/time.h"

#include <deque>
#include <optional>
#include <vector>

namespace magnolia::enginemodel
{

/** A request in the model. The fleet owns it; engines hold pointers to it. */
struct JobState
{
    ModelJob job;
    std::uint64_t arrivalNumber = 0;
    /** Tokens that the primary prefills: its part, and after a preemption also the tokens generated so far. */
    double primaryPartTokens = 0;
    double primaryPrefilledTokens = 0;
    /** Tokens that all engines prefill together; the attention pairs of a part are counted over them. */
    double totalPrefillTokens = 0;
    std::size_t remainingParts = 0;
    double generatedTokens = 0;
    bool isAdmitted = false;
    bool isDecoding = false;
    /** All parts are prefilled; the first event comes at the end of the current pass. */
    bool isFirstEventDue = false;

    /** Number of parts of the prompt, including the part of the primary. */
    [[nodiscard]] std::size_t partCount() const
    {
        return job.helpers.size() + 1;
    }
    /** Tokens of memory that the request uses at its primary. */
    [[nodiscard]] double primaryMemoryTokens() const;
};

/** A part of a prompt that a helper prefills for the primary. */
struct HelperPart
{
    JobState *state = nullptr;
    double tokens = 0;
    double prefilledTokens = 0;
};

struct Engine
{
    double slowdown = 1;
    // Invariant: an engine that does not run has no requests and no pass.
    bool isRunning = true;
    // Invariant: sorted by priority, then by arrival, with preempted requests at the front; none is admitted.
    std::vector<JobState *> waiting;
    // In the order of admission.
    std::vector<JobState *> admitted;
    std::deque<HelperPart> helperParts;
    // Requests of other engines that have memory reserved on this engine.
    std::vector<JobState *> reservedJobs;
    /** Tokens of one prompt that the current pass prefills. */
    struct PassPrefill
    {
        JobState *state = nullptr;
        bool isHelperPart = false;
        double tokens = 0;
    };
    std::vector<PassPrefill> passPrefills;
    std::vector<JobState *> passDecodes;
    std::optional<MonoTime> passEndsAt;
    MonoTime passStartedAt{};
    double busyMs = 0;
};

/** Tokens of memory in use, including those reserved for other engines. */
[[nodiscard]] double usedMemoryTokens(const Engine &engine);

/** Admits waiting requests while there is a free slot and memory for the next one. */
void admitJobs(const catalogue::EngineModel &model, Engine &engine);

/** Starts the next pass at `now`; the engine becomes idle if it has nothing to prefill or decode. */
void startPass(const catalogue::EngineModel &model, Engine &engine, MonoTime now);

/** Removes `state` from all lists of `engine`. */
void removeFromEngine(Engine &engine, const JobState *state);

} // namespace magnolia::enginemodel
