// An HTTP server on top of Poco::Net with one thread per connection.
#include "framework/httpserver/httpserver.h"

#include "framework/httpserver/internal/httpconnection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

namespace magnolia
{

namespace
{

// Each open stream occupies a thread; a small stack limits the memory of thousands of open streams.
constexpr int threadStackBytes = 128 * 1024;
constexpr int threadIdleSeconds = 10;
constexpr int minThreads = 4;
constexpr int listenBacklog = 1024;

Poco::Timespan toTimespan(Milliseconds duration)
{
    return {Poco::Timespan::MILLISECONDS * duration.count()};
}

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ConnectionFactory(HttpListenerState &state)
        : m_state(state)
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new HttpConnection(socket, m_state);
    }

private:
    HttpListenerState &m_state;
};

Poco::Net::HTTPServerParams::Ptr makeParams(const HttpServerLimits &limits)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(limits.maxConnections);
    params->setMaxQueued(limits.maxConnections);
    params->setThreadIdleTime(Poco::Timespan(threadIdleSeconds, 0));
    params->setTimeout(toTimespan(limits.stallTimeout));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(toTimespan(limits.idleTimeout));
    params->setMaxKeepAliveRequests(0);
    return params;
}

} // namespace

struct HttpServer::Impl
{
    Impl(const Poco::Net::ServerSocket &socket, IHttpHandler &handler, const HttpServerLimits &limits)
        : state{handler, limits, makeParams(limits), {}}
        , pool(minThreads, limits.maxConnections + minThreads, threadIdleSeconds, threadStackBytes)
        , server(new ConnectionFactory(state), pool, socket, state.params)
    {
        server.start();
    }

    HttpListenerState state;
    Poco::ThreadPool pool;
    Poco::Net::TCPServer server;
};

Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    const std::string &address, IHttpHandler &handler, const HttpServerLimits &limits)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(listenBacklog);
        return serve(socket, handler, limits);
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::ListenFailed, address + ": " + ex.displayText());
    }
}

std::unique_ptr<HttpServer> HttpServer::serve(
    const Poco::Net::ServerSocket &socket, IHttpHandler &handler, const HttpServerLimits &limits)
{
    return std::unique_ptr<HttpServer>(new HttpServer(std::make_unique<Impl>(socket, handler, limits)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

void HttpServer::disableKeepAlive()
{
    m_impl->state.isKeepAliveDisabled = true;
}

void HttpServer::stopAccepting()
{
    m_impl->server.stop();
}

int HttpServer::openConnectionCount() const
{
    return m_impl->server.currentConnections();
}

int HttpServer::acceptedConnectionCount() const
{
    return m_impl->server.totalConnections();
}

} // namespace magnolia
