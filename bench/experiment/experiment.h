// Simulates callers, instances and engines in virtual time under one policy.
#pragma once

#include "enginemodel/enginefleet.h"
#include "ipolicy.h"
#include "workload.h"

#include "framework/testing/schedule.h"
#include "placement/enginepriority.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::bench
{

/** Why two events of a stream were further apart than the target. */
enum class GapCause {
    None,
    /** The passes of the engine take longer than the target without any prefill. */
    SlowEngine,
    /** A helper part of a prompt with another primary. */
    HelperPart,
    /** A prompt of the first class, which is that of the shortest prompts. */
    FirstClassPrompt,
    OtherPrompt,
    /** No prefill was known in the gap; the request was preempted. */
    Unknown,
};

/** Result of one arrival over all its attempts. Times are in milliseconds since the arrival, or negative if unset. */
struct Outcome
{
    const Arrival *arrival = nullptr;
    double firstEventMs = -1;
    double finishMs = -1;
    double maxGapMs = 0;
    int attempts = 0;
    int refusals = 0;
    /** First gap over the target: the prefill that took the most of it. */
    GapCause gapCause = GapCause::None;
    /** The caller gave up: no retry was left, an event took too long, or the deadline passed. */
    bool isAbandoned = false;
    /** Time from the arrival to the refusal after which the caller did not come back; negative if there was none. */
    double finalRefusalMs = -1;

    [[nodiscard]] bool isDone() const
    {
        return finishMs >= 0;
    }
    [[nodiscard]] bool isOnTime(const PromptClass &promptClass) const;
    [[nodiscard]] bool hasLateFirstEvent(const PromptClass &promptClass) const;
    [[nodiscard]] bool hasLongGap(const PromptClass &promptClass) const;
};

class Experiment : public enginemodel::IEngineFleetListener
{
public:
    /**
     * `workload` and `arrivals` must outlive the experiment and its outcomes. Error: SettingsInvalid (5002) for an
     * unknown policy.
     */
    [[nodiscard]] static Result<std::unique_ptr<Experiment>> make(
        const Workload &workload, const std::string &policy, const std::vector<Arrival> &arrivals, std::uint64_t seed);
    static Result<std::unique_ptr<Experiment>> make(
        const Workload &workload, const std::string &policy, std::vector<Arrival> &&arrivals, std::uint64_t seed)
        = delete;

    /** Sets the arrivals, by index, that are refused without a retry; used by the hindsight search. */
    void setRefusedArrivals(std::vector<bool> refused);

    /** Runs until all arrivals are answered or abandoned. */
    std::vector<Outcome> run();
    /** Share of the time between the first and the last arrival in which engines ran passes; mean over the engines. */
    [[nodiscard]] double busyShare() const;
    /**
     * Mean over the seconds of the run of the ratio of the busiest engine to the mean, by requests of `promptClass`
     * sent in the second, among the engines that got any in it.
     */
    [[nodiscard]] double busiestOverMean(std::size_t promptClass) const;
    /** Share of the run in which one engine had no request while another had more requests than slots. */
    [[nodiscard]] double idleBesideWaitingShare() const;
    /** Returns the times at which requests were sent to `engine`, in ascending order. */
    [[nodiscard]] const std::vector<MonoTime> &placementTimes(std::size_t engine);

    void onEvent(enginemodel::JobId job, MonoTime at) override;
    void onDone(enginemodel::JobId job, MonoTime at) override;
    void onRefused(enginemodel::JobId job, MonoTime at) override;
    void onBroken(enginemodel::JobId job, enginemodel::EngineIndex crashed, MonoTime at) override;

private:
    /** A prompt or a part of one that an engine has to prefill before the first event of the request. */
    struct KnownPrefill
    {
        enginemodel::JobId job = 0;
        std::size_t promptClass = 0;
        bool isHelper = false;
        double ms = 0;
        MonoTime sentAt{};
        /** Time of the first event; the prefills of the last seconds are kept. */
        std::optional<MonoTime> endedAt;
    };
    struct Attempt
    {
        std::size_t arrivalIndex = 0;
        std::size_t instance = 0;
        placement::UpstreamKey engine = 0;
        MonoTime lastProgressAt{};
        bool isDecoding = false;
        double firstEventMs = -1;
        double maxGapMs = 0;
        GapCause gapCause = GapCause::None;
    };

    Experiment(
        const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed, bool knowsOutputLength);

    void startAttempt(std::size_t arrivalIndex);
    void scheduleRetry(std::size_t arrivalIndex, Milliseconds delay);
    void checkInactivity(enginemodel::JobId job);
    void endAttempt(enginemodel::JobId job);
    void scheduleWakeUp();
    void sampleIdle();
    [[nodiscard]] GapCause gapCause(const Attempt &attempt, enginemodel::JobId job, MonoTime at) const;
    [[nodiscard]] const PromptClass &classOf(std::size_t arrivalIndex) const;
    [[nodiscard]] double msSinceArrival(std::size_t arrivalIndex, MonoTime at) const;
    [[nodiscard]] double remainingMs(std::size_t arrivalIndex) const;

    const Workload &m_workload;
    bool m_knowsOutputLength;
    testing::Schedule m_schedule;
    const std::vector<Arrival> &m_arrivals;
    placement::UrgencyScale m_urgencyScale;
    std::unique_ptr<IPolicy> m_policy;
    enginemodel::EngineFleet m_engines;
    std::vector<Outcome> m_outcomes;
    std::vector<bool> m_refusedArrivals;
    std::map<placement::UpstreamKey, std::vector<MonoTime>> m_placedAt;
    std::map<placement::UpstreamKey, std::vector<KnownPrefill>> m_prefills;
    // Requests sent, by class, second and engine.
    std::map<std::pair<std::size_t, std::int64_t>, std::map<placement::UpstreamKey, int>> m_sentCounts;
    std::size_t m_idleSamples = 0;
    std::size_t m_samples = 0;
    std::unordered_map<enginemodel::JobId, Attempt> m_attempts;
    enginemodel::JobId m_nextJobId = 1;
    std::optional<MonoTime> m_scheduledWakeUp;
};

} // namespace magnolia::bench
