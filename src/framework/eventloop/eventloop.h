// One thread that waits for sockets and timers and calls whoever they belong to.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace magnolia::eventloop
{

class IReadinessHandler;

/** Names one timer; zero names none. */
using TimerId = std::uint64_t;

/** What a socket is waited for. */
struct Interest
{
    bool isRead = false;
    bool isWrite = false;

    friend bool operator==(const Interest &, const Interest &) = default;
};

/**
 * Level-triggered epoll, and a heap of timers. All calls come from the thread that runs the loop.
 *
 * Time is CLOCK_BOOTTIME, which goes on while a machine is suspended: a deadline that passed meanwhile is seen as
 * passed.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Waits for `fd` on behalf of `handler`, which is kept alive until `remove`. */
    void add(int fd, std::shared_ptr<IReadinessHandler> handler, Interest interest);
    void update(int fd, Interest interest);
    void remove(int fd);

    /** Calls `task` once after `delay`. */
    TimerId after(Milliseconds delay, std::function<void()> task);
    /** A timer that has fired, or zero, is ignored. */
    void cancel(TimerId timer);
    /** Calls `task` before the loop waits again; for what must not happen inside the present call. */
    void defer(std::function<void()> task);

    /** The time at which the present round of calls began. */
    [[nodiscard]] MonoTime now() const;
    /** The clock, read now. */
    [[nodiscard]] static MonoTime readClock();

    /** Serves events until `stop`. */
    void run();
    void stop();

private:
    struct Watched
    {
        std::shared_ptr<IReadinessHandler> handler;
        Interest interest;
        std::uint64_t generation = 0;
    };
    struct Due
    {
        MonoTime at;
        TimerId id = 0;
    };

    void waitOnce();
    void runTimers();
    void runDeferred();
    [[nodiscard]] int waitTime() const;

    int m_epoll = -1;
    bool m_isStopping = false;
    MonoTime m_now;
    std::uint64_t m_nextGeneration = 1;
    TimerId m_nextTimer = 1;
    std::unordered_map<int, Watched> m_watched;
    // Invariant: a heap by time; ids that m_tasks does not hold were cancelled.
    std::vector<Due> m_due;
    std::unordered_map<TimerId, std::function<void()>> m_tasks;
    std::vector<std::function<void()>> m_deferred;
};

} // namespace magnolia::eventloop
