// Accepts connections.
#include "gateway/listener.h"

#include "memory/stalledcallers.h"

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
/** Interval at which bodies that wait for memory are let in; a fraction of the time for which callers wait. */
constexpr Milliseconds admitInterval{10};
/** Interval at which the progress of callers is measured; a fraction of their wait limits. */
constexpr Milliseconds callerCheckInterval{250};

} // namespace

void IRequestHandler::refuseUnread(const httpwire::RequestHead & /*head*/, std::string_view /*reason*/,
    Milliseconds /*retryAfter*/, IResponseWriter &responseWriter)
{
    httpwire::ResponseHead head;
    head.status = 503;
    responseWriter.sendResponse(std::move(head), {});
}

Listener::Listener(
    eventloop::EventLoop &loop, IRequestHandler &handler, std::size_t maxConnections, memory::MemoryAccount *account)
    : m_loop(loop)
    , m_handler(handler)
    , m_maxConnections(maxConnections)
    , m_account(account != nullptr && account->limits().isLimited() ? account : nullptr)
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
        if (m_account != nullptr && !m_isCheckingCallers) {
            m_isCheckingCallers = true;
            checkCallers();
        }
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
    m_isClosingIdleConnections = true;
    const std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto &it : open) {
        it->closeIfIdle();
    }
}

void Listener::answerAll()
{
    const std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    for (const auto &it : open) {
        it->answerAtEnd();
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

bool Listener::isClosingIdleConnections() const
{
    return m_isClosingIdleConnections;
}

memory::MemoryAccount *Listener::limitedAccount() const
{
    return m_account;
}

std::uint64_t Listener::disconnectedCount() const
{
    return m_disconnectedCount;
}

void Listener::queueBody(const std::shared_ptr<CallerConnection> &connection)
{
    m_waitingBodies.push_back(connection);
    if (!m_isAdmitting) {
        m_isAdmitting = true;
        m_loop.after(admitInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->admitBodies();
            }
        });
    }
}

Bytes Listener::queuedBodySize() const
{
    Bytes size;
    for (const auto &it : m_waitingBodies) {
        if (const auto connection = it.lock()) {
            size += connection->waitingBodySize();
        }
    }
    return size;
}

void Listener::admitBodies()
{
    while (!m_waitingBodies.empty()) {
        const auto first = m_waitingBodies.front().lock();
        if (first && first->waitingBodySize().count() > 0 && !first->tryReadBody()) {
            break;
        }
        m_waitingBodies.pop_front();
    }
    m_isAdmitting = !m_waitingBodies.empty();
    if (m_isAdmitting) {
        m_loop.after(admitInterval, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->admitBodies();
            }
        });
    }
}

void Listener::checkCallers()
{
    std::vector<std::shared_ptr<CallerConnection>> open(m_connections.begin(), m_connections.end());
    std::vector<memory::CallerOutput> outputs;
    outputs.reserve(open.size());
    for (const auto &it : open) {
        outputs.push_back(it->measureOutput());
    }
    if (m_account->isShort()) {
        const Bytes excess = m_account->held() - m_account->limits().shortage + Bytes{1};
        for (const std::size_t i : memory::callersToDisconnect(outputs, excess)) {
            ++m_disconnectedCount;
            logging::write(logging::Level::Warning, "gateway", "caller_disconnected",
                {{"held_bytes", outputs[i].held.count()}, {"stalled_ms", std::int64_t{outputs[i].stalled.count()}},
                    {"account_bytes", m_account->held().count()}});
            open[i]->onEnd(eventloop::StreamEnd::Broken);
        }
    }
    m_loop.after(callerCheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->checkCallers();
        }
    });
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
