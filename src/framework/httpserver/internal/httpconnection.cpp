// One connection of an HTTP server.
#include "framework/httpserver/internal/httpconnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>

#include <array>

namespace magnolia
{

namespace
{

const Poco::Timespan lingerTimeout(1, 0);
constexpr std::size_t maxLingerBytes = 16UL * 1024 * 1024;

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket &socket, HttpListenerState &state)
    : TCPServerConnection(socket)
    , m_state(state)
{
}

void HttpConnection::run()
{
    try {
        socket().setNoDelay(true);
        Poco::Net::HTTPServerSession session(socket(), m_state.params);
        while (session.hasMoreRequests()) {
            if (!serveRequest(session)) {
                lingerOnClose();
                break;
            }
        }
    } catch (const Poco::Exception &) {
        // The caller disconnected between two requests, so there is nobody to answer.
        return;
    }
}

bool HttpConnection::serveRequest(Poco::Net::HTTPServerSession &session)
{
    auto guard = m_state.watch.guard(session.socket(), std::chrono::steady_clock::now() + m_state.limits.headTimeout);
    Poco::Net::HTTPServerResponseImpl response(session);
    try {
        Poco::Net::HTTPServerRequestImpl request(response, session, m_state.params.get());
        if (guard.release()) {
            refuse(response, true, "");
            return false;
        }
        // Poco accepts any third word of the request line as the version and would return it in the response.
        if (request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1
            && request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_0) {
            refuse(response, false, "the HTTP version in the request line is neither 1.0 nor 1.1");
            return false;
        }
        response.setVersion(request.getVersion());
        response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive() && !m_state.isKeepAliveDisabled);
        if (static_cast<int>(request.size()) > m_state.limits.maxHeaderFields) {
            response.setKeepAlive(false);
            m_state.handler.refuse(response, {ResultCode::RequestHeadersTooLarge, "too many header fields"});
            return false;
        }
        m_state.handler.handle(request, response);
        const bool isReusable = response.getKeepAlive() && response.sent();
        session.setKeepAlive(isReusable);
        return isReusable;
    } catch (const Poco::Net::NoMessageException &) {
        if (guard.release()) {
            refuse(response, true, "");
        }
    } catch (const Poco::Net::MessageException &ex) {
        refuse(response, guard.release(), ex.message());
    } catch (const Poco::TimeoutException &) {
        if (!response.sent()) {
            refuse(response, true, "");
        }
    }
    return false;
}

// Closing a socket with unread bytes resets the connection, and the caller may lose the error response.
void HttpConnection::lingerOnClose()
{
    if (socket().secure()) {
        // TLS has no half-closed connections.
        return;
    }
    socket().shutdownSend();
    socket().setReceiveTimeout(lingerTimeout);
    const MonoTime deadline = std::chrono::steady_clock::now() + Milliseconds(lingerTimeout.totalMilliseconds());
    std::array<char, 4096> buf;
    for (std::size_t discardedBytes = 0;
         discardedBytes < maxLingerBytes && std::chrono::steady_clock::now() < deadline;) {
        const int n = socket().receiveBytes(buf.data(), buf.size());
        if (n <= 0) {
            return;
        }
        discardedBytes += static_cast<std::size_t>(n);
    }
}

void HttpConnection::refuse(Poco::Net::HTTPServerResponseImpl &response, bool isTooSlow, const std::string &detail)
{
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    if (isTooSlow) {
        m_state.handler.refuse(
            response, {ResultCode::RequestTooSlow, "the head of the request did not arrive within the time limit"});
        return;
    }
    // All messages of Poco about headers that exceed a limit contain "too many" or "too long".
    const bool isTooLarge = detail.find("too ") != std::string::npos || detail.find("Too ") != std::string::npos;
    const ResultCode code = isTooLarge ? ResultCode::RequestHeadersTooLarge : ResultCode::RequestMalformed;
    m_state.handler.refuse(response, {code, detail.empty() ? "the head of the request is malformed" : detail});
}

} // namespace magnolia
