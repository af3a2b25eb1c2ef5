// Simulates instances before engines that some prompts crash, in virtual time.
//
// The requests, the engines' passes and the messages between instances are modelled; the conclusions about crashes are
// those of the quarantine module. Placement is simple: the engine with the fewest requests, as all instances know them.
#pragma once

#include "enginemodel/enginefleet.h"
#include "quarantine/quarantinetable.h"

#include "framework/testing/schedule.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace magnolia::bench
{

/** Engines that end at one moment for a reason that no request has. */
struct OutageSchedule
{
    /** Mean time between two outages; zero for none. */
    Milliseconds meanInterval{0};
    double engineShare = 0.2;
};

struct CrashScenario
{
    std::size_t instances = 9;
    std::size_t engines = 14;
    double soundPerSecond = 25;
    /** Prompts with the part that crashes engines, between `crashingFrom` and the end. */
    double crashingPerSecond = 4;
    Milliseconds crashingFrom{10'000};
    Milliseconds duration{60'000};
    /** Shared parts of sound prompts; their popularity falls with their number. Crashing prompts have one of them too.
     */
    std::size_t partCount = 70;
    Milliseconds engineRestartTime{3000};
    Milliseconds messageDelay{2};
    double messageLoss = 0.01;
    /** Time between the full states of an instance. */
    Milliseconds heartbeatInterval{1000};
    OutageSchedule outages;
    /** Time at which all instances lose what they know; zero for never. */
    Milliseconds allKilledAt{0};
    /** Time at which each second instance is cut off from the others, and for how long. */
    Milliseconds cutFrom{0};
    Milliseconds cutTime{0};
};

struct CrashResult
{
    /** Crashes by prompts with the crashing part. */
    std::size_t crashCount = 0;
    /** Crashes by such prompts until the first instance refused one. */
    std::size_t crashesUntilKnown = 0;
    /** Such prompts that reached an engine later than `contactTime` after the fifth crash. */
    std::size_t lateArrivals = 0;
    /** Time from the first refusal by any instance until all instances would refuse; negative if some never did. */
    double spreadMs = -1;
    std::size_t soundCount = 0;
    std::size_t soundServed = 0;
    /** Sound prompts refused because of a quarantine. */
    std::size_t soundRefused = 0;
    /** Sent about crashes from `crashingFrom` on. */
    double bytesPerInstanceSecond = 0;
};

class CrashExperiment : public enginemodel::IEngineFleetListener
{
public:
    CrashExperiment(const CrashScenario &scenario, std::uint64_t seed);

    CrashResult run();

    void onEvent(enginemodel::JobId job, MonoTime at) override;
    void onDone(enginemodel::JobId job, MonoTime at) override;
    void onRefused(enginemodel::JobId job, MonoTime at) override;
    void onBroken(enginemodel::JobId job, enginemodel::EngineIndex crashed, MonoTime at) override;

private:
    struct Prompt
    {
        quarantine::RequestTraits traits;
        bool isCrashing = false;
        double promptTokens = 0;
        double outputTokens = 0;
        int attempts = 0;
        int callerRetries = 0;
    };
    struct Attempt
    {
        std::size_t prompt = 0;
        std::size_t instance = 0;
        MonoTime sentAt{};
        double predictedMs = 0;
        std::optional<MonoTime> firstEventAt;
        bool isProven = false;
    };

    void addPrompt(bool isCrashing);
    void scheduleArrivals(bool isCrashing);
    void receive(std::size_t prompt);
    void send(std::size_t prompt, std::size_t instance);
    void finish(std::size_t prompt, bool isServed);
    void recordSuccess(const Attempt &attempt, MonoTime at);
    void reportCrash(const Attempt &attempt, enginemodel::EngineIndex engine, MonoTime at);
    void broadcast(std::size_t from, std::size_t bytes,
        const std::function<void(quarantine::QuarantineTable &table, MonoTime now)> &deliver);
    void scheduleUpdate(std::size_t instance);
    void scheduleOutage();
    /** Starts the next run of an engine that has just crashed after `engineRestartTime`. */
    void scheduleRestart(enginemodel::EngineIndex engine);
    void sendFullStates(std::size_t instance);
    void scheduleWakeUp();
    void recordKnowledge();
    [[nodiscard]] bool isCut(std::size_t a, std::size_t b) const;

    CrashScenario m_scenario;
    testing::Schedule m_schedule;
    enginemodel::EngineFleet m_engines;
    std::vector<quarantine::QuarantineTable> m_tables;
    std::vector<Prompt> m_prompts;
    std::unordered_map<enginemodel::JobId, Attempt> m_attempts;
    std::set<std::size_t> m_updatesScheduled;
    // Number of the current or, while the engine is down, the last run by engine.
    std::vector<std::uint64_t> m_runs;
    std::vector<bool> m_isRestartScheduled;
    // Runs that ended by a crashing prompt.
    std::set<quarantine::UpstreamRun> m_crashedRuns;
    bool m_isOutage = false;
    CrashResult m_result;
    std::optional<MonoTime> m_fifthCrashAt;
    std::optional<MonoTime> m_knownAt;
    std::uint64_t m_nextId = 1;
    double m_bytes = 0;
    std::optional<MonoTime> m_scheduledWakeUp;
};

} // namespace magnolia::bench
