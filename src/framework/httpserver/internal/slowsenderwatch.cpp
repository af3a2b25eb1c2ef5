// Ends the reading of requests that take too long to arrive.
#include "framework/httpserver/slowsenderwatch.h"

#include <sys/socket.h>

namespace magnolia
{

SlowSenderWatch::Guard::Guard(SlowSenderWatch &watch, std::uint64_t id)
    : m_watch(watch)
    , m_id(id)
{
}

SlowSenderWatch::Guard::~Guard()
{
    release();
}

bool SlowSenderWatch::Guard::release()
{
    if (!m_isReleased) {
        m_isReleased = true;
        m_isExpired = m_watch.remove(m_id);
    }
    return m_isExpired;
}

SlowSenderWatch::SlowSenderWatch()
    : m_thread([this] {
        run();
    })
{
}

SlowSenderWatch::~SlowSenderWatch()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_stopSignal.notify_all();
    m_thread.join();
}

SlowSenderWatch::Guard SlowSenderWatch::guard(const Poco::Net::StreamSocket &socket, MonoTime due)
{
    const std::scoped_lock lock(m_mutex);
    const std::uint64_t id = m_nextId++;
    m_watchedSockets.emplace(id, WatchedSocket{socket, due});
    return {*this, id};
}

bool SlowSenderWatch::remove(std::uint64_t id)
{
    const std::scoped_lock lock(m_mutex);
    const auto node = m_watchedSockets.extract(id);
    return !node.empty() && node.mapped().isExpired;
}

void SlowSenderWatch::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_stopSignal.wait_for(lock, checkInterval);
        const MonoTime now = std::chrono::steady_clock::now();
        for (auto &[id, watched] : m_watchedSockets) {
            if (watched.isExpired || now < watched.due) {
                continue;
            }
            watched.isExpired = true;
            // A system call, because Poco's secure sockets ignore a shutdown for reading. An error is ignored: if the
            // peer has already closed the connection, the reading has ended as well.
            static_cast<void>(::shutdown(watched.socket.impl()->sockfd(), SHUT_RD));
        }
    }
}

} // namespace magnolia
