// Reads requests and sends the bytes of the script.
#include "scriptedupstream.h"

#include "framework/httpwire/messagereader.h"

#include <array>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

namespace magnolia::gateway::tests
{

namespace
{

/** Makes the host drop all packets to a socket, which leaves them without an acknowledgement, or ends that. */
void dropPackets(const Poco::Net::Socket &socket, bool isDropping)
{
    const int fd = socket.impl()->sockfd();
    if (!isDropping) {
        const int unused = 0;
        ::setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
        return;
    }
    // A filter that accepts no bytes of any packet.
    std::array<sock_filter, 1> instructions{{{BPF_RET | BPF_K, 0, 0, 0}}};
    const sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
    ::setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

} // namespace

Poco::Net::SocketAddress unusedAddress()
{
    // Below the ports that the system gives to connections and to listeners on any port.
    static std::uint16_t port = 10'000;
    constexpr int addressesPerBlock = 250;
    const int pid = static_cast<int>(::getpid());
    const std::string ip = "127." + std::to_string(50 + pid / addressesPerBlock % 150) + '.'
        + std::to_string(1 + pid % addressesPerBlock) + ".1";
    return {ip, port++};
}

ScriptedUpstream::Connection::Connection(ScriptedUpstream &upstream)
    : m_upstream(upstream)
{
}

void ScriptedUpstream::Connection::send(const std::string &bytes)
{
    stream->write(bytes);
}

void ScriptedUpstream::Connection::close()
{
    stream->shutdownOutput();
}

void ScriptedUpstream::Connection::reset()
{
    stream->reset();
}

void ScriptedUpstream::Connection::setSilent(bool isSilent)
{
    dropPackets(socket, isSilent);
}

void ScriptedUpstream::Connection::onInput()
{
    const std::string &input = stream->input();
    const std::size_t headEnd = input.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return;
    }
    std::string copy = input;
    httpwire::RequestHead head;
    if (httpwire::readRequestHead(copy, input.size(), head) != httpwire::ReadState::Complete) {
        return;
    }
    if (m_upstream.m_isRespondingEarly) {
        stream->setReading(false);
        const std::string requestHead = input.substr(0, headEnd + 4);
        m_upstream.requests.push_back(requestHead);
        m_upstream.m_script(*this, requestHead, static_cast<int>(m_upstream.requests.size()) - 1);
        return;
    }
    const std::uint64_t length = httpwire::requestBodyDecoder(head)->contentLength();
    if (copy.size() < length) {
        return;
    }
    const std::string request = input.substr(0, headEnd + 4 + length);
    stream->input().erase(0, request.size());
    if (m_upstream.m_isHanging) {
        return;
    }
    m_upstream.requests.push_back(request);
    m_upstream.m_script(*this, request, static_cast<int>(m_upstream.requests.size()) - 1);
}

void ScriptedUpstream::Connection::onEnd(eventloop::StreamEnd /*end*/)
{
    ++m_upstream.closedByClient;
    stream->close();
}

ScriptedUpstream::ScriptedUpstream(eventloop::EventLoop &loop, Script script)
    : m_loop(loop)
    , m_script(std::move(script))
{
}

void ScriptedUpstream::listen()
{
    m_socket.bind(unusedAddress(), true);
    m_socket.listen();
    m_address = m_socket.address().toString();
    m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
}

void ScriptedUpstream::stopListening()
{
    m_loop.remove(m_socket.impl()->sockfd());
    m_socket.close();
}

void ScriptedUpstream::resumeListening()
{
    m_socket = Poco::Net::ServerSocket();
    m_socket.bind(Poco::Net::SocketAddress(m_address), true);
    m_socket.listen();
    m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
}

void ScriptedUpstream::setHanging(bool isHanging)
{
    m_isHanging = isHanging;
    dropPackets(m_socket, isHanging);
}

void ScriptedUpstream::setClosing(bool isClosing, Milliseconds delay)
{
    m_isClosing = isClosing;
    m_closingDelay = delay;
}

void ScriptedUpstream::resetConnections()
{
    for (const auto &it : m_open) {
        it->reset();
    }
    m_open.clear();
}

void ScriptedUpstream::setRespondingEarly()
{
    m_isRespondingEarly = true;
    // Set by hand, the buffer does not grow, so that the system never takes a whole large body.
    constexpr int receiveBuffer = 16 * 1024;
    m_socket.setReceiveBufferSize(receiveBuffer);
}

std::string ScriptedUpstream::address() const
{
    return m_address;
}

void ScriptedUpstream::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    if (m_isClosing) {
        m_loop.after(m_closingDelay, [socket = m_socket.acceptConnection()]() mutable {
            socket.setLinger(true, 0);
            socket.close();
        });
        return;
    }
    const auto connection = std::make_shared<Connection>(*this);
    connection->socket = m_socket.acceptConnection();
    connection->stream = eventloop::TcpStream::adopt(m_loop, connection->socket, *connection, {});
    m_open.push_back(connection);
    ++connections;
}

} // namespace magnolia::gateway::tests
