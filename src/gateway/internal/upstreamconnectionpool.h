// Pool of idle connections to upstreams.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/tcpstream.h"

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnolia::gateway
{

class UpstreamConnectionPool
{
public:
    explicit UpstreamConnectionPool(eventloop::EventLoop &loop);
    ~UpstreamConnectionPool();
    UpstreamConnectionPool(const UpstreamConnectionPool &) = delete;
    UpstreamConnectionPool &operator=(const UpstreamConnectionPool &) = delete;

    /** Returns the most recently used idle connection without unread input; null if there is none. */
    [[nodiscard]] std::shared_ptr<eventloop::TcpStream> take(const std::string &address);
    /** Adds a connection to the pool for at most `time`, or closes it if the pool is full. */
    void keep(const std::string &address, std::shared_ptr<eventloop::TcpStream> stream, Milliseconds time);
    /** Closes all idle connections to `address`. */
    void closeAll(const std::string &address);

private:
    class IdleConnection;

    void remove(const std::string &address, const IdleConnection *idle);

    eventloop::EventLoop &m_loop;
    std::unordered_map<std::string, std::list<std::shared_ptr<IdleConnection>>> m_idleByAddress;
};

} // namespace magnolia::gateway
