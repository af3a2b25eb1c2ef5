// Accepts connections.
#include "gateway/listener.h"

#include "framework/logging/log.h"
#include "gateway/internal/callerconnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <vector>

namespace magnolia::gateway
{

namespace
{

constexpr int backlog = 512;

} // namespace

Listener::Listener(eventloop::EventLoop &loop, IRequestHandler &handler, std::size_t maxConnections)
    : m_loop(loop)
    , m_handler(handler)
    , m_maxConnections(maxConnections)
{
}

Listener::~Listener() = default;

Result<void> Listener::listen(const std::string &address)
{
    try {
        m_socket.bind(Poco::Net::SocketAddress(address), true);
        m_socket.listen(backlog);
        m_socket.setBlocking(false);
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::ListenFailed, address + ": " + ex.displayText());
    }
    m_isListening = true;
    return {};
}

void Listener::startAccepting()
{
    if (m_isListening && !m_isAccepting) {
        m_isAccepting = true;
        m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
    }
}

void Listener::acceptWaiting()
{
    constexpr int maxAccepted = backlog;
    for (int i = 0; i < maxAccepted && m_socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ); ++i) {
        acceptOne();
    }
}

void Listener::stopAccepting()
{
    if (m_isAccepting) {
        // Closing the socket resets the connections that wait in its queue, whose callers may have sent requests.
        acceptWaiting();
        m_isAccepting = false;
        m_loop.remove(m_socket.impl()->sockfd());
    }
    if (m_isListening) {
        m_isListening = false;
        m_socket.close();
    }
}

void Listener::closeAll()
{
    stopAccepting();
    const std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto &it : open) {
        it->onEnd(eventloop::StreamEnd::Broken);
    }
}

void Listener::closeIdleConnections()
{
    const std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto &it : open) {
        it->closeIfIdle();
    }
}

void Listener::notifyPartitioned()
{
    const std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto &it : open) {
        it->notifyPartitioned();
    }
}

std::size_t Listener::connectionCount() const
{
    return m_connections.size();
}

std::size_t Listener::busyConnectionCount() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) {
        return it->isBusy();
    }));
}

void Listener::removeConnection(const std::shared_ptr<CallerConnection> &connection)
{
    m_connections.erase(connection);
}

void Listener::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    if (!m_isAccepting) {
        return;
    }
    // Accepts one connection per call: the loop calls again while more are waiting and serves open requests in between.
    acceptOne();
}

void Listener::acceptOne()
{
    try {
        const Poco::Net::StreamSocket socket = m_socket.acceptConnection();
        if (m_connections.size() >= m_maxConnections) {
            logging::write(logging::Level::Warning, "gateway", "connection_refused",
                {{"open", std::uint64_t{m_connections.size()}}});
            return;
        }
        const auto connection = std::make_shared<CallerConnection>(m_loop, m_handler, *this);
        m_connections.insert(connection);
        connection->start(socket);
    } catch (const Poco::Exception &ex) {
        logging::write(
            logging::Level::Warning, "gateway", "accept_failed", {{"detail", std::string_view(ex.message())}});
    }
}

} // namespace magnolia::gateway
