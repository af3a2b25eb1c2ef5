// Kept connections to upstreams that no request is on.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/tcpstream.h"

#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace magnolia::gateway
{

class UpstreamPool
{
public:
    explicit UpstreamPool(eventloop::EventLoop &loop);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /** A kept connection on which nothing has come, newest first; null where there is none. */
    [[nodiscard]] std::shared_ptr<eventloop::TcpStream> take(const std::string &address);
    /** Keeps a connection for `time` at most. */
    void keep(const std::string &address, std::shared_ptr<eventloop::TcpStream> stream, Milliseconds time);
    /** Closes all kept connections to `address`. */
    void drop(const std::string &address);

private:
    class Idle;

    void remove(const std::string &address, const Idle *idle);

    eventloop::EventLoop &m_loop;
    std::unordered_map<std::string, std::list<std::shared_ptr<Idle>>> m_idle;
};

} // namespace magnolia::gateway
