// An HTTP server on top of Poco::Net with one thread per connection.
#pragma once

#include "framework/global/error.h"
#include "framework/httpserver/ihttphandler.h"
#include "framework/httpserver/types/httpserverlimits.h"

#include <functional>
#include <memory>
#include <string>

namespace Poco::Net
{
class ServerSocket;
}

namespace magnolia
{

class HttpServer
{
public:
    /** Opens the listener; `handler` must outlive the server. Errors: ListenFailed. */
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>> listen(
        const std::string &address, IHttpHandler &handler, const HttpServerLimits &limits);
    /** Serves a socket that is already bound and listening, such as a TLS socket. */
    [[nodiscard]] static std::unique_ptr<HttpServer> serve(
        const Poco::Net::ServerSocket &socket, IHttpHandler &handler, const HttpServerLimits &limits);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Closes each connection after its next request, so that callers open a new one; open requests continue. */
    void disableKeepAlive();
    /** Stops accepting connections; open connections continue. */
    void stopAccepting();
    /** Returns the number of open connections. */
    [[nodiscard]] int openConnectionCount() const;
    /** Returns the number of connections accepted since the start. */
    [[nodiscard]] int acceptedConnectionCount() const;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace magnolia
