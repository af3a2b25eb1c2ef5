// HTTP server of a stand-in, with one thread per connection; each has a small stack.
#pragma once

#include "standin/context.h"
#include "standin/irole.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

namespace magnolia::standin
{

class Server
{
public:
    Server(const Poco::Net::SocketAddress &address, Context &context, IRole &role);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Returns the bound address; if port 0 was requested, it contains the port that the system assigned. */
    [[nodiscard]] Poco::Net::SocketAddress address() const;

private:
    Poco::ThreadPool m_threadPool;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::TCPServer m_server;
};

} // namespace magnolia::standin
