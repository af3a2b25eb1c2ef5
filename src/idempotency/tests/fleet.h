// A handful of entries, a platform, an upstream and callers under a seeded schedule, for tests of at-most-once.
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

/** Which faults a schedule draws from. */
struct FleetOptions
{
    /** Small parts, so that handovers of a few keys are cut. */
    FleetOptions()
    {
        parameters.maxKeysInHandoverPart = 2;
    }

    KeyParameters parameters;
    /** Faults drawn over the run; zero for a quiet one. */
    int maxFaults = 8;
    /** Chance that an entry is paused at any one step of an attempt. */
    double pauseChance = 0.01;
    testing::LinkFaults handoverLink{0.2, 0.2, Milliseconds(1), Milliseconds(1500)};
    double connectFailure = 0.1;
    double relayLoss = 0.02;
    /** Chance that an upstream answers that it did not run what it was sent. */
    double upstreamRefusal = 0.1;
    /** Clocks of entries differ from the platform's by up to this; half the allowed skew keeps every pair in it. */
    Milliseconds clockError{500};
    bool canRestart = true;
    Milliseconds horizon{40'000};
};

/** What the schedule did, beyond violations; shows that the schedules reach what they are meant to reach. */
struct FleetCounts
{
    std::uint64_t attempts = 0;
    std::uint64_t executions = 0;
    std::uint64_t refusedTooNew = 0;
    std::uint64_t relayed = 0;
    std::uint64_t replayed = 0;
    std::uint64_t toldNotRun = 0;
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
    /** Draws callers and faults over the whole horizon, and runs to its end. */
    void runRandomly();

    void start(const std::string &entry);
    void kill(const std::string &entry);
    void pause(const std::string &entry, Milliseconds duration);
    void stopOwning(const std::string &entry);
    /** Publishes the entries that are listed and not leaving, under the next revision. */
    void publish(std::set<std::string> members);
    [[nodiscard]] const std::set<std::string> &published() const
    {
        return m_versions.back().members;
    }

    /** A caller creates a key now (by a clock that is `callerError` off) and returns its number. */
    std::size_t createKey(Milliseconds callerError = Milliseconds(0));
    void sendAttempt(std::size_t key, const std::string &entry);
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
    struct Version
    {
        MonoTime since{};
        std::uint64_t revision = 0;
        std::set<std::string> members;
    };
    struct Key
    {
        KeyName name;
        int executions = 0;
        bool isToldNotRun = false;
    };
    struct Attempt
    {
        std::size_t key = 0;
        bool isToldNotRun = false;
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

    [[nodiscard]] WallTime wall(const std::string &entry);
    /** Runs `step` on the process after `delay`: never if it dies before, and only after any pause. */
    void onProcess(const std::string &entry, Milliseconds delay, std::function<void(Process &)> step);
    void poll(const std::string &entry);
    void tick(const std::string &entry);
    void handle(Process &process, std::size_t attempt, bool isRelayed);
    void dispatch(Process &process, std::size_t attempt, const Permit &permit);
    void write(Process &process, std::size_t attempt, const Permit &permit);
    void execute(std::size_t attempt);
    void takeBack(Process &process, std::size_t attempt, const Permit &permit);
    void tellRefusal(std::size_t attempt, const KeyRefusal &refusal);
    void tellNotRun(std::size_t attempt, bool isWholeKey);
    void tellRan(std::size_t attempt);
    void maybePause(const std::string &entry);
    void drawFault();
    void drawCaller();
    void crash(const std::string &entry);
    void leave(const std::string &entry);
    Milliseconds drawTime(Milliseconds from, Milliseconds to);
    std::string drawEntry();
    void setListed(const std::string &entry, bool isListed);

    FleetOptions m_options;
    testing::Schedule m_schedule;
    testing::FakeNetwork<RelayMessage> m_relays;
    testing::FakeNetwork<HandoverMessage> m_handovers;
    // Invariant: ascending by time and by revision.
    std::vector<Version> m_versions;
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
