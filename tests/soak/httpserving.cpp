// Reads requests from connections and passes them to the handler when they are complete.
#include "httpserving.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace magnolia::soak
{

namespace
{

constexpr std::size_t maxHeadSize = 64 * 1024;

} // namespace

ServedConnection::ServedConnection(std::weak_ptr<HttpListener> listener)
    : m_listener(std::move(listener))
{
}

void ServedConnection::send(std::string_view bytes)
{
    if (isOpen()) {
        m_stream->write(bytes);
    }
}

void ServedConnection::sendResponse(
    int status, const std::vector<std::pair<std::string, std::string>> &fields, std::string_view body)
{
    httpwire::ResponseHead head;
    head.status = status;
    for (const auto &[name, value] : fields) {
        head.fields.add(name, value);
    }
    head.fields.add("Content-Length", std::to_string(body.size()));
    send(httpwire::writeResponseHead(head) + std::string(body));
    finishResponse();
}

void ServedConnection::finishResponse()
{
    m_isResponsePending = false;
    m_isHeadRead = false;
    m_request = {};
    onInput();
}

void ServedConnection::reset()
{
    if (isOpen()) {
        m_stream->reset();
    }
}

std::string ServedConnection::peerIp() const
{
    return m_stream->peerIp();
}

bool ServedConnection::isOpen() const
{
    return m_stream && m_stream->isOpen();
}

void ServedConnection::onInput()
{
    if (m_isResponsePending || !isOpen()) {
        return;
    }
    std::string &input = m_stream->input();
    if (!m_isHeadRead) {
        if (httpwire::readRequestHead(input, maxHeadSize, m_request.head) != httpwire::ReadState::Complete) {
            return;
        }
        m_isHeadRead = true;
        m_bodyDecoder = httpwire::requestBodyDecoder(m_request.head).value_or(httpwire::BodyDecoder());
    }
    m_bodyDecoder.decode(input, m_request.body);
    if (!m_bodyDecoder.isComplete()) {
        return;
    }
    m_isResponsePending = true;
    if (const auto listener = m_listener.lock()) {
        listener->m_handler(shared_from_this(), m_request);
    }
}

void ServedConnection::onEnd(eventloop::StreamEnd /*end*/)
{
    const auto self = shared_from_this();
    m_stream->close();
    if (const auto listener = m_listener.lock()) {
        std::erase(listener->m_connections, self);
    }
}

HttpListener::HttpListener(eventloop::EventLoop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
{
}

void HttpListener::listen(const std::string &address)
{
    m_socket = std::make_unique<Poco::Net::ServerSocket>();
    m_socket->bind(Poco::Net::SocketAddress(address), true);
    m_socket->listen();
    m_socket->setBlocking(false);
    m_address = m_socket->address().toString();
    m_loop.add(m_socket->impl()->sockfd(), shared_from_this(), {true, false});
}

void HttpListener::closeAndReset()
{
    if (m_socket) {
        m_loop.remove(m_socket->impl()->sockfd());
        m_socket->close();
        m_socket.reset();
    }
    resetAll();
}

void HttpListener::resetAll()
{
    const auto connections = std::move(m_connections);
    m_connections.clear();
    for (const auto &it : connections) {
        it->reset();
    }
}

std::string HttpListener::address() const
{
    return m_address;
}

bool HttpListener::isListening() const
{
    return m_socket != nullptr;
}

void HttpListener::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    try {
        const Poco::Net::StreamSocket socket = m_socket->acceptConnection();
        auto connection = std::make_shared<ServedConnection>(weak_from_this());
        connection->m_stream = eventloop::TcpStream::adopt(m_loop, socket, *connection, {});
        m_connections.push_back(std::move(connection));
    } catch (const Poco::Exception &) {
        // The client closed the connection before it was accepted.
        return;
    }
}

} // namespace magnolia::soak
