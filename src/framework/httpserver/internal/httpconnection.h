// One connection of an HTTP server: reads requests in order and passes them to the handler.
#pragma once

#include "framework/httpserver/ihttphandler.h"
#include "framework/httpserver/slowsenderwatch.h"
#include "framework/httpserver/types/httpserverlimits.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <atomic>

namespace Poco::Net
{
class HTTPServerResponseImpl;
class HTTPServerSession;
}

namespace magnolia
{

/** State shared by all connections of one server. */
struct HttpListenerState
{
    IHttpHandler &handler;
    HttpServerLimits limits;
    Poco::Net::HTTPServerParams::Ptr params;
    SlowSenderWatch watch;
    std::atomic<bool> isKeepAliveDisabled = false;
};

class HttpConnection : public Poco::Net::TCPServerConnection
{
public:
    HttpConnection(const Poco::Net::StreamSocket &socket, HttpListenerState &state);

    void run() override;

private:
    /** Serves one request; returns false if the connection must not be reused. */
    bool serveRequest(Poco::Net::HTTPServerSession &session);
    /** Discards input for a limited time and size, so that the caller receives the response before the close. */
    void lingerOnClose();
    void refuse(Poco::Net::HTTPServerResponseImpl &response, bool isTooSlow, const std::string &detail);

    HttpListenerState &m_state;
};

} // namespace magnolia
