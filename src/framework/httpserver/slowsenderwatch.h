// Ends the reading of requests that take too long to arrive, even if single bytes keep arriving.
#pragma once

#include "framework/global/types/time.h"

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace magnolia
{

class SlowSenderWatch
{
public:
    /** Guards the reading of one request; must not outlive the watch. */
    class Guard
    {
    public:
        Guard(SlowSenderWatch &watch, std::uint64_t id);
        ~Guard();
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

        /** Ends the guard; returns true if it had expired and the socket was shut down for reading. */
        bool release();

    private:
        SlowSenderWatch &m_watch;
        std::uint64_t m_id;
        bool m_isReleased = false;
        bool m_isExpired = false;
    };

    SlowSenderWatch();
    ~SlowSenderWatch();
    SlowSenderWatch(const SlowSenderWatch &) = delete;
    SlowSenderWatch &operator=(const SlowSenderWatch &) = delete;

    /** Shuts `socket` down for reading if the guard is not released before `due`. */
    [[nodiscard]] Guard guard(const Poco::Net::StreamSocket &socket, MonoTime due);

private:
    struct WatchedSocket
    {
        Poco::Net::StreamSocket socket;
        MonoTime due;
        bool isExpired = false;
    };

    void run();
    bool remove(std::uint64_t id);

    static constexpr Milliseconds checkInterval{100};

    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    std::map<std::uint64_t, WatchedSocket> m_watchedSockets;
    std::uint64_t m_nextId = 1;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace magnolia
