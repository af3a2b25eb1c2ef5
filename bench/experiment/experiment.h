// One run: callers, instances and modelled engines in virtual time, under one policy.
#pragma once

#include "enginemodel/enginefleet.h"
#include "ipolicy.h"
#include "workload.h"

#include "framework/testing/schedule.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::bench
{

/** What became of one arrival, over all its attempts; times in milliseconds from its arrival, negative: never. */
struct Outcome
{
    const Arrival *arrival = nullptr;
    double firstMs = -1;
    double doneMs = -1;
    double longestGapMs = 0;
    int attempts = 0;
    int refusals = 0;
    /** The caller left: its patience or its deadline was over. */
    bool isGivenUp = false;

    [[nodiscard]] bool isDone() const
    {
        return doneMs >= 0;
    }
    [[nodiscard]] bool isOnTime(const PromptClass &promptClass) const;
    /** Part of the class's worth that was earned. */
    [[nodiscard]] double earned(const PromptClass &promptClass) const;
};

class Experiment : public enginemodel::IEngineFleetListener
{
public:
    /** `workload` and `arrivals` must outlive it and its outcomes. Error: SettingsInvalid (5002) for an unknown policy.
     */
    [[nodiscard]] static Result<std::unique_ptr<Experiment>> make(
        const Workload &workload, const std::string &policy, const std::vector<Arrival> &arrivals, std::uint64_t seed);
    static Result<std::unique_ptr<Experiment>> make(
        const Workload &workload, const std::string &policy, std::vector<Arrival> &&arrivals, std::uint64_t seed)
        = delete;

    /** Arrivals by number that are refused for good as they come; what a run in hindsight has chosen. */
    void refuse(std::vector<bool> arrivals);

    /** Plays all arrivals to their ends. */
    std::vector<Outcome> run();
    /** Share of the engines' time in which they did anything. */
    [[nodiscard]] double busyShare() const;

    void onEvent(enginemodel::JobId job, MonoTime at) override;
    void onDone(enginemodel::JobId job, MonoTime at) override;
    void onRefused(enginemodel::JobId job, MonoTime at) override;

private:
    struct Attempt
    {
        std::size_t number = 0;
        std::size_t instance = 0;
        MonoTime progressAt{};
        bool isWriting = false;
        double firstMs = -1;
        double longestGapMs = 0;
    };

    Experiment(const Workload &workload, const std::vector<Arrival> &arrivals, std::uint64_t seed, bool knowsOutput);

    void arrive(std::size_t number);
    void comeBack(std::size_t number, Milliseconds after);
    void checkPatience(enginemodel::JobId job);
    void end(enginemodel::JobId job);
    void wakeAtNextPass();
    [[nodiscard]] const PromptClass &classOf(std::size_t number) const;
    [[nodiscard]] double sinceArrival(std::size_t number, MonoTime at) const;
    [[nodiscard]] double leftMs(std::size_t number) const;

    const Workload &m_workload;
    bool m_knowsOutput;
    testing::Schedule m_schedule;
    const std::vector<Arrival> &m_arrivals;
    std::unique_ptr<IPolicy> m_policy;
    enginemodel::EngineFleet m_engines;
    std::vector<Outcome> m_outcomes;
    std::vector<bool> m_refused;
    std::unordered_map<enginemodel::JobId, Attempt> m_attempts;
    enginemodel::JobId m_nextJob = 1;
    std::optional<MonoTime> m_wokenAt;
};

} // namespace magnolia::bench
