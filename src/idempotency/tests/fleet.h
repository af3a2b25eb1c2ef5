// Simulates instances, the platform, an upstream and callers under a seeded schedule, to test at-most-once dispatch.
#pragma once

#include "framework/testing/schedule.h"
#include "idempotency/keycontroller.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace magnolia::idempotency::tests
{

/** Faults that a schedule may inject. */
struct FleetOptions
{
    /** Sets small parts, so that handovers of a few keys are split. */
    FleetOptions()
    {
        parameters.maxKeysInHandoverPart = 2;
    }

    KeyParameters parameters;
    /** Maximum number of faults in a run; zero for none. */
    int maxFaults = 8;
    /** Probability that an instance pauses or crashes at each step of an attempt. */
    double pauseChance = 0.01;
    testing::LinkFaults handoverLink{0.2, 0.2, Milliseconds(1), Milliseconds(1500)};
    double connectFailureChance = 0.1;
    double relayLossChance = 0.02;
    /** Probability that an upstream answers that it did not run the request. */
    double upstreamRefusalChance = 0.1;
    /** Bound of the clock error of an instance; half of maxClockSkew, so that any two clocks stay within it. */
    Milliseconds maxClockError{500};
    bool canRestart = true;
    Milliseconds faultPeriod{40'000};
};

/** Events of a run, to check that the schedules reach the cases that they are meant to test. */
struct FleetCounts
{
    std::uint64_t attempts = 0;
    std::uint64_t executions = 0;
    std::uint64_t refusedTooNew = 0;
    std::uint64_t relayed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t reportedNotRun = 0;
    std::uint64_t handoverParts = 0;

    FleetCounts &operator+=(const FleetCounts &other);
};

class Fleet
{
public:
    Fleet(std::uint64_t seed, FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    testing::Schedule &schedule()
    {
        return m_schedule;
    }
    /** Runs with random callers and faults during faultPeriod, and for a further 20 s. */
    void runRandomly();

    void start(const std::string &instance);
    void kill(const std::string &instance);
    void pause(const std::string &instance, Milliseconds duration);
    void stopOwning(const std::string &instance);
    /** Publishes a list of `members`, none of them leaving, with the next revision. */
    void publish(std::set<std::string> members);
    [[nodiscard]] const std::set<std::string> &published() const
    {
        return m_versions.back().members;
    }

    /** Creates a key, by a clock that is off by `callerClockError`, and returns its index. */
    std::size_t createKey(Milliseconds callerClockError = Milliseconds(0));
    void sendAttempt(std::size_t key, const std::string &instance);
    [[nodiscard]] int executions(std::size_t key) const
    {
        return m_keys[key].executions;
    }

    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] const FleetCounts &counts() const
    {
        return m_counts;
    }

private:
    struct Process;
    struct ListVersion
    {
        MonoTime since{};
        std::uint64_t revision = 0;
        std::set<std::string> members;
    };
    struct Key
    {
        KeyName name;
        int executions = 0;
        bool isReportedNotRun = false;
    };
    struct Attempt
    {
        std::size_t key = 0;
        bool isReportedNotRun = false;
    };
    struct RelayMessage
    {
        std::size_t attempt = 0;
    };
    struct HandoverMessage
    {
        std::variant<HandoverPart, HandoverAck, HandedOverKey> content;
    };
    class Transport;

    [[nodiscard]] WallTime wallNow(const std::string &instance);
    /** Runs `step` on the process after `delay` and after any pause, unless the process ends before. */
    void onProcess(const std::string &instance, Milliseconds delay, std::function<void(Process &)> step);
    void poll(const std::string &instance);
    void tick(const std::string &instance);
    void handle(Process &process, std::size_t attempt, bool isRelayed);
    void dispatch(Process &process, std::size_t attempt, const Permit &permit);
    void write(Process &process, std::size_t attempt, const Permit &permit);
    void execute(std::size_t attempt);
    void handleUpstreamRefusal(Process &process, std::size_t attempt, const Permit &permit);
    void reportRefusal(std::size_t attempt, const KeyRefusal &refusal);
    void reportNotRun(std::size_t attempt, bool isWholeKey);
    void reportRan(std::size_t attempt);
    void pauseOrCrashRandomly(const std::string &instance);
    void injectRandomFault();
    void startRandomCaller();
    void crash(const std::string &instance);
    void leave(const std::string &instance);
    Milliseconds randomTime(Milliseconds from, Milliseconds to);
    std::string randomInstance();
    void setListed(const std::string &instance, bool isListed);

    FleetOptions m_options;
    testing::Schedule m_schedule;
    testing::FakeNetwork<RelayMessage> m_relays;
    testing::FakeNetwork<HandoverMessage> m_handovers;
    // Invariant: ascending by time and by revision.
    std::vector<ListVersion> m_versions;
    std::map<std::string, std::unique_ptr<Process>> m_processes;
    std::map<std::string, Milliseconds> m_clockErrors;
    std::map<std::string, MonoTime> m_pausedUntil;
    std::map<std::string, MonoTime> m_platformCutUntil;
    std::vector<Key> m_keys;
    std::vector<Attempt> m_attempts;
    std::vector<std::string> m_violations;
    FleetCounts m_counts;
    std::uint64_t m_nextIncarnation = 1;
};

} // namespace magnolia::idempotency::tests
