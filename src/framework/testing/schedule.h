// Deterministic simulation for tests: a seeded event queue with a virtual clock, and a network between nodes that
// loses, duplicates and delays messages and can be partitioned.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace magnolia::testing
{

/** Runs events in order of virtual time; events of the same time run in the order in which they were added. */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] MonoTime now() const
    {
        return m_now;
    }
    /** Returns wall time, which advances with virtual time from a fixed date. */
    [[nodiscard]] WallTime wallNow() const
    {
        return WallTime(std::chrono::hours(24 * 20000)) + toMilliseconds(m_now.time_since_epoch());
    }
    [[nodiscard]] Random &random()
    {
        return m_random;
    }

    void at(MonoTime time, std::function<void()> action)
    {
        m_events.emplace(std::pair(std::max(time, m_now), m_nextSequenceNumber++), std::move(action));
    }
    void after(MonoTime::duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /** Runs all events up to and including `end` and sets the clock to `end`. */
    void runUntil(MonoTime end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = end;
    }
    void runFor(MonoTime::duration duration)
    {
        runUntil(m_now + duration);
    }

private:
    // Invariant: no event is earlier than m_now; sequence numbers are unique, so the order is total.
    std::map<std::pair<MonoTime, std::uint64_t>, std::function<void()>> m_events;
    MonoTime m_now{};
    std::uint64_t m_nextSequenceNumber = 0;
    Random m_random;
};

/** Fault probabilities of the links between nodes, and the delay range of delivered messages. */
struct LinkFaults
{
    double lossProbability = 0;
    double duplicateProbability = 0;
    Milliseconds minDelay{1};
    Milliseconds maxDelay{5};
};

/** Nodes that send each other messages of one type through faulty links. */
template <typename Message>
class FakeNetwork
{
public:
    using Receiver = std::function<void(const std::string &from, const Message &message)>;

    explicit FakeNetwork(Schedule &schedule, LinkFaults faults = {})
        : m_schedule(schedule)
        , m_faults(faults)
    {
    }

    void setFaults(LinkFaults faults)
    {
        m_faults = faults;
    }
    void attach(const std::string &node, Receiver receiver)
    {
        m_receivers[node] = std::move(receiver);
    }
    /** Removes a node; messages in transit to it are lost. */
    void detach(const std::string &node)
    {
        m_receivers.erase(node);
    }
    /** Partitions the nodes into two sides; messages between the sides are lost until `heal`. */
    void partition(std::set<std::string> oneSide)
    {
        m_oneSide = std::move(oneSide);
        m_isPartitioned = true;
    }
    void heal()
    {
        m_isPartitioned = false;
    }
    /** Pauses a node: its messages wait until `resume`, as in a socket buffer. */
    void pause(const std::string &node)
    {
        m_paused.insert(node);
    }
    void resume(const std::string &node)
    {
        m_paused.erase(node);
    }
    [[nodiscard]] bool isPaused(const std::string &node) const
    {
        return m_paused.contains(node);
    }
    [[nodiscard]] bool isPartitioned(const std::string &a, const std::string &b) const
    {
        return m_isPartitioned && m_oneSide.contains(a) != m_oneSide.contains(b);
    }

    void send(const std::string &from, const std::string &to, const Message &message)
    {
        Random &random = m_schedule.random();
        const int copies = random.chance(m_faults.duplicateProbability) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (random.chance(m_faults.lossProbability)) {
                continue;
            }
            const auto delayRange = static_cast<std::uint64_t>((m_faults.maxDelay - m_faults.minDelay).count() + 1);
            const Milliseconds delay = m_faults.minDelay + Milliseconds(random.below(delayRange));
            m_schedule.after(delay, [this, from, to, message] {
                deliver(from, to, message);
            });
        }
    }

private:
    void deliver(const std::string &from, const std::string &to, const Message &message)
    {
        if (isPartitioned(from, to)) {
            return;
        }
        if (isPaused(to)) {
            m_schedule.after(pausedRetryInterval, [this, from, to, message] {
                deliver(from, to, message);
            });
            return;
        }
        const auto it = m_receivers.find(to);
        if (it != m_receivers.end()) {
            const Receiver receiver = it->second;
            receiver(from, message);
        }
    }

    static constexpr Milliseconds pausedRetryInterval{10};

    Schedule &m_schedule;
    LinkFaults m_faults;
    std::map<std::string, Receiver> m_receivers;
    std::set<std::string> m_oneSide;
    std::set<std::string> m_paused;
    bool m_isPartitioned = false;
};

/**
 * Calls `run` with the seeds 1 to `count`, or only with the seed in the environment variable MAGNOLIA_SEED.
 * Tests call INFO("MAGNOLIA_SEED=" << seed) first, so that a failure prints how to reproduce it.
 */
inline void forEachSeed(std::uint64_t count, const std::function<void(std::uint64_t seed)> &run)
{
    if (const char *text = std::getenv("MAGNOLIA_SEED")) {
        run(std::strtoull(text, nullptr, 10));
        return;
    }
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        run(seed);
    }
}

} // namespace magnolia::testing
