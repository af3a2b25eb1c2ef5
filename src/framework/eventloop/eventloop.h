// A single-threaded event loop for sockets and timers.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace magnolia::eventloop
{

class IReadinessHandler;

/** Identifies a timer; zero is no timer. */
using TimerId = std::uint64_t;

/** The events that a socket is watched for. */
struct Interest
{
    bool isRead = false;
    bool isWrite = false;

    friend bool operator==(const Interest &, const Interest &) = default;
};

/**
 * Level-triggered epoll and a heap of timers. All calls must come from the thread that runs the loop.
 *
 * Time is CLOCK_BOOTTIME, which also advances while the machine is suspended, so that a deadline that passed during a
 * suspension counts as passed.
 *
 * An exception that leaves a callback ends this callback only: it is logged and counted, and the loop goes on, so that
 * one message that nothing was prepared for does not end all other requests of the process. A socket whose handler
 * fails a hundred times in a row is no longer watched.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Watches `fd` and calls `handler`, which is kept alive until `remove`. */
    void add(int fd, std::shared_ptr<IReadinessHandler> handler, Interest interest);
    void update(int fd, Interest interest);
    void remove(int fd);

    /** Calls `task` once after `delay`. */
    TimerId after(Milliseconds delay, std::function<void()> task);
    /** Cancels a timer; a timer that has fired, or zero, is ignored. */
    void cancel(TimerId timer);
    /** Calls `task` before the loop waits again; for work that must not run inside the current call. */
    void defer(std::function<void()> task);

    /** Sets the IP address from which new connections leave; if it is empty, the system chooses one. */
    void setSourceAddress(std::string ip);
    [[nodiscard]] const std::string &sourceAddress() const;

    /** Returns the time at which the current round of callbacks began. */
    [[nodiscard]] MonoTime now() const;
    /** Reads the clock. */
    [[nodiscard]] static MonoTime readClock();

    /** Number of callbacks that were left by an exception. */
    [[nodiscard]] std::uint64_t failedCallbackCount() const;

    /** Handles events until `stop` is called. */
    void run();
    void stop();

private:
    struct WatchedSocket
    {
        std::shared_ptr<IReadinessHandler> handler;
        Interest interest;
        std::uint64_t generation = 0;
        int consecutiveFailures = 0;
    };
    struct Timer
    {
        MonoTime dueAt;
        TimerId id = 0;
    };

    /** Calls `callback`; returns whether it ended without an exception. */
    template <typename Callback>
    bool call(const Callback &callback);
    void callHandler(int fd, std::uint64_t generation, std::uint32_t events);
    void waitOnce();
    void runTimers();
    void runDeferred();
    [[nodiscard]] int waitTimeoutMs() const;

    int m_epoll = -1;
    bool m_isStopping = false;
    MonoTime m_now;
    std::uint64_t m_nextGeneration = 1;
    TimerId m_nextTimer = 1;
    std::unordered_map<int, WatchedSocket> m_watchedSockets;
    // Invariant: a heap by due time; timers without an entry in m_timerTasks were cancelled.
    std::vector<Timer> m_timers;
    std::unordered_map<TimerId, std::function<void()>> m_timerTasks;
    std::vector<std::function<void()>> m_deferredTasks;
    std::string m_sourceAddress;
    std::uint64_t m_failedCallbackCount = 0;
};

} // namespace magnolia::eventloop
