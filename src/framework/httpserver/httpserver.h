// An HTTP listener over Poco::Net with one thread a connection.
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
    /** The same on a socket that is bound and listening already, such as one that speaks TLS. */
    [[nodiscard]] static std::unique_ptr<HttpServer> serve(
        const Poco::Net::ServerSocket &socket, IHttpHandler &handler, const HttpServerLimits &limits);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Asks callers to use a new connection for their next request; open requests go on. */
    void disableKeepAlive();
    /** Accepts no further connections; open ones go on. */
    void stopAccepting();
    /** Connections that are open now. */
    [[nodiscard]] int openConnectionCount() const;
    /** Connections accepted since the start. */
    [[nodiscard]] int acceptedConnectionCount() const;

private:
    struct Parts;
    explicit HttpServer(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace magnolia
