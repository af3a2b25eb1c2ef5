// Non-blocking reading and writing of one connection.
#include "framework/eventloop/tcpstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace magnolia::eventloop
{

namespace
{

constexpr std::size_t readBufferSize = 16 * 1024;
/** Sent bytes and unused memory of the output that are given back beyond this size. */
constexpr std::size_t maxUnusedOutput = 64 * 1024;

} // namespace

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const std::string &address, ITcpStreamListener &listener,
    const TcpTimeouts &timeouts, const std::string &sourceIp)
{
    auto stream = std::make_shared<TcpStream>(loop, Poco::Net::StreamSocket());
    stream->m_listener = &listener;
    try {
        if (const std::string &source = sourceIp.empty() ? loop.sourceAddress() : sourceIp; !source.empty()) {
            stream->bindTo(source);
        }
        stream->m_socket.connectNB(Poco::Net::SocketAddress(address));
    } catch (const Poco::Exception &ex) {
        stream->m_isRefused = dynamic_cast<const Poco::Net::ConnectionRefusedException *>(&ex) != nullptr;
        stream->m_isEnded = true;
        loop.defer([stream] {
            if (stream->m_listener != nullptr) {
                stream->m_listener->onEnd(StreamEnd::Broken);
            }
        });
        return stream;
    }
    stream->setTimeouts(timeouts);
    stream->m_fd = stream->m_socket.impl()->sockfd();
    loop.add(stream->m_fd, stream, Interest{false, true});
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::adopt(
    EventLoop &loop, const Poco::Net::StreamSocket &socket, ITcpStreamListener &listener, const TcpTimeouts &timeouts)
{
    auto stream = std::make_shared<TcpStream>(loop, socket);
    stream->m_listener = &listener;
    stream->m_socket.setBlocking(false);
    stream->setTimeouts(timeouts);
    stream->m_isConnected = true;
    stream->m_fd = stream->m_socket.impl()->sockfd();
    loop.add(stream->m_fd, stream, Interest{true, false});
    return stream;
}

TcpStream::TcpStream(EventLoop &loop, const Poco::Net::StreamSocket &socket)
    : m_loop(loop)
    , m_socket(socket)
{
}

TcpStream::~TcpStream()
{
    close();
}

void TcpStream::bindTo(const std::string &sourceIp)
{
    m_socket = Poco::Net::StreamSocket(Poco::Net::SocketAddress::IPv4);
    // The port is chosen when the connection is made, so that connections to different addresses can share one.
    m_socket.setOption(IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    m_socket.impl()->bind(Poco::Net::SocketAddress(sourceIp, 0), false);
}

void TcpStream::setTimeouts(const TcpTimeouts &timeouts)
{
    try {
        m_socket.setNoDelay(true);
        if (timeouts.keepAliveIdle.count() > 0) {
            const auto seconds = [](Milliseconds time) {
                return static_cast<int>(std::max<std::int64_t>(1, time.count() / 1000));
            };
            m_socket.setKeepAlive(true);
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds(timeouts.keepAliveIdle));
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds(timeouts.keepAliveInterval));
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, timeouts.keepAliveProbes);
        }
        if (timeouts.unacknowledgedTimeout.count() > 0) {
            m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeouts.unacknowledgedTimeout.count()));
        }
    } catch (const Poco::Exception &) {
        // The connection failed before its options were set; the next read reports it.
        m_isReading = true;
    }
}

void TcpStream::setListener(ITcpStreamListener &listener)
{
    m_listener = &listener;
}

void TcpStream::write(std::string_view bytes)
{
    if (!isOpen()) {
        return;
    }
    m_output.append(bytes);
    if (m_isConnected) {
        flush();
    }
}

void TcpStream::shutdownOutput()
{
    m_isOutputEnding = true;
    if (m_isConnected) {
        flush();
    }
}

void TcpStream::close()
{
    m_listener = nullptr;
    m_isEnded = true;
    if (m_fd >= 0) {
        m_loop.remove(m_fd);
        m_fd = -1;
        try {
            m_socket.close();
        } catch (const Poco::Exception &) {
            // The socket is already closed.
            m_isConnected = false;
        }
    }
}

void TcpStream::reset()
{
    try {
        if (m_fd >= 0) {
            m_socket.setLinger(true, 0);
        }
    } catch (const Poco::Exception &) {
        // A closed connection needs no reset.
        m_isConnected = false;
    }
    close();
}

void TcpStream::setReading(bool isReading)
{
    if (m_isReading != isReading) {
        m_isReading = isReading;
        updateInterest();
    }
}

void TcpStream::setMaxInput(std::size_t bytes)
{
    m_maxInput = bytes;
}

void TcpStream::setSendBuffer(std::size_t bytes)
{
    try {
        m_socket.setSendBufferSize(static_cast<int>(bytes));
    } catch (const Poco::Exception &) {
        // The connection has ended; the next read reports it.
        m_isReading = true;
    }
}

std::string &TcpStream::input()
{
    return m_input;
}

std::size_t TcpStream::pendingOutput() const
{
    return m_output.size() - m_sentBytes;
}

std::size_t TcpStream::unacknowledgedOutput() const
{
    int held = 0;
    if (m_fd < 0 || ::ioctl(m_fd, SIOCOUTQ, &held) != 0) {
        held = 0;
    }
    return pendingOutput() + static_cast<std::size_t>(std::max(held, 0));
}

int TcpStream::error() const
{
    return m_error;
}

std::uint64_t TcpStream::sentTotal() const
{
    return m_sentTotal;
}

bool TcpStream::isConnected() const
{
    return m_isConnected;
}

bool TcpStream::isRefused() const
{
    return m_isRefused;
}

bool TcpStream::isOpen() const
{
    return m_fd >= 0 && !m_isEnded;
}

std::string TcpStream::peerIp() const
{
    try {
        return m_socket.peerAddress().host().toString();
    } catch (const Poco::Exception &) {
        return {};
    }
}

bool TcpStream::hasInputOrEnd()
{
    if (!isOpen() || !m_input.empty()) {
        return true;
    }
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n >= 0) {
        return true;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return false;
    }
    m_error = errno;
    return true;
}

void TcpStream::onReady(bool isReadable, bool isWritable, bool isBroken)
{
    const auto self = shared_from_this();
    if (!m_isConnected) {
        if (!isWritable && !isBroken) {
            return;
        }
        int ec = 0;
        socklen_t size = sizeof(ec);
        if (::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &ec, &size) != 0 || ec != 0) {
            m_isRefused = ec == ECONNREFUSED;
            end(StreamEnd::Broken);
            return;
        }
        m_isConnected = true;
        updateInterest();
        if (m_listener != nullptr) {
            m_listener->onConnected();
        }
        if (isOpen()) {
            flush();
        }
        return;
    }
    if (isWritable && isOpen()) {
        flush();
    }
    if ((isReadable || isBroken) && isOpen() && (m_isReading || isBroken)) {
        readAll();
    }
}

void TcpStream::readAll()
{
    std::array<char, readBufferSize> buf{};
    StreamEnd streamEnd = StreamEnd::Closed;
    bool hasEnded = false;
    bool hasNewInput = false;
    while (m_input.size() < m_maxInput) {
        const std::size_t wanted = std::min(buf.size(), m_maxInput - m_input.size());
        const auto n = ::recv(m_fd, buf.data(), wanted, MSG_DONTWAIT);
        if (n > 0) {
            m_input.append(buf.data(), static_cast<std::size_t>(n));
            hasNewInput = true;
            if (static_cast<std::size_t>(n) < wanted) {
                break;
            }
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            break;
        }
        hasEnded = true;
        // The system reports an error once only, perhaps to a send.
        streamEnd = n == 0 && m_error == 0 ? StreamEnd::Closed : StreamEnd::Broken;
        break;
    }
    if (hasNewInput && m_listener != nullptr) {
        m_listener->onInput();
    }
    if (hasEnded && isOpen()) {
        end(streamEnd);
    }
}

void TcpStream::flush()
{
    const bool hadOutput = pendingOutput() > 0;
    while (pendingOutput() > 0) {
        const auto n = ::send(m_fd, m_output.data() + m_sentBytes, pendingOutput(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                break;
            }
            m_error = errno;
            // The read path reports the end, so that bytes that arrived before are not lost.
            m_output.clear();
            m_sentBytes = 0;
            m_loop.defer([self = shared_from_this()] {
                if (self->isOpen()) {
                    self->readAll();
                }
                if (self->isOpen()) {
                    self->end(StreamEnd::Broken);
                }
            });
            return;
        }
        m_sentBytes += static_cast<std::size_t>(n);
        m_sentTotal += static_cast<std::uint64_t>(n);
    }
    if (m_sentBytes > maxUnusedOutput && pendingOutput() > 0) {
        // A reader that is always a little behind would otherwise make the output grow without end.
        m_output.erase(0, m_sentBytes);
        m_sentBytes = 0;
    }
    if (pendingOutput() == 0) {
        if (m_output.capacity() > maxUnusedOutput) {
            std::string().swap(m_output);
        }
        m_output.clear();
        m_sentBytes = 0;
        if (m_isOutputEnding) {
            ::shutdown(m_fd, SHUT_WR);
            m_isOutputEnding = false;
        }
    }
    updateInterest();
    if (hadOutput && pendingOutput() == 0 && m_listener != nullptr) {
        m_listener->onOutputSent();
    }
}

void TcpStream::end(StreamEnd streamEnd)
{
    m_isEnded = true;
    if (m_fd >= 0) {
        m_loop.remove(m_fd);
    }
    ITcpStreamListener *listener = m_listener;
    if (listener != nullptr) {
        listener->onEnd(streamEnd);
    }
}

void TcpStream::updateInterest()
{
    if (isOpen()) {
        m_loop.update(m_fd, Interest{m_isReading && m_isConnected, !m_isConnected || pendingOutput() > 0});
    }
}

} // namespace magnolia::eventloop
