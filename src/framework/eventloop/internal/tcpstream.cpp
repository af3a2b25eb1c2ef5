// Non-blocking reading and writing of one connection.
#include "framework/eventloop/tcpstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace magnolia::eventloop
{

namespace
{

constexpr std::size_t readSize = 16 * 1024;
/** Input beyond this is left to the system until the user has consumed some. */
constexpr std::size_t inputLimit = 256 * 1024;

} // namespace

std::shared_ptr<TcpStream> TcpStream::connect(
    EventLoop &loop, const std::string &address, ITcpStreamListener &user, const TcpTimeouts &limits)
{
    auto stream = std::make_shared<TcpStream>(loop, Poco::Net::StreamSocket());
    stream->m_user = &user;
    try {
        stream->m_socket.connectNB(Poco::Net::SocketAddress(address));
    } catch (const Poco::Exception &) {
        stream->m_isEnded = true;
        loop.defer([stream] {
            if (stream->m_user != nullptr) {
                stream->m_user->onEnd(StreamEnd::Broken);
            }
        });
        return stream;
    }
    stream->setLimits(limits);
    stream->m_fd = stream->m_socket.impl()->sockfd();
    loop.add(stream->m_fd, stream, Interest{false, true});
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::adopt(
    EventLoop &loop, const Poco::Net::StreamSocket &socket, ITcpStreamListener &user, const TcpTimeouts &limits)
{
    auto stream = std::make_shared<TcpStream>(loop, socket);
    stream->m_user = &user;
    stream->m_socket.setBlocking(false);
    stream->setLimits(limits);
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

void TcpStream::setLimits(const TcpTimeouts &limits)
{
    try {
        m_socket.setNoDelay(true);
        if (limits.keepAliveIdle.count() > 0) {
            const auto seconds = [](Milliseconds time) {
                return static_cast<int>(std::max<std::int64_t>(1, time.count() / 1000));
            };
            m_socket.setKeepAlive(true);
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds(limits.keepAliveIdle));
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds(limits.keepAliveInterval));
            m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, limits.keepAliveProbes);
        }
        if (limits.unacknowledgedTimeout.count() > 0) {
            m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limits.unacknowledgedTimeout.count()));
        }
    } catch (const Poco::Exception &) {
        // The connection broke before it could be set up; the next read tells so.
        m_isReading = true;
    }
}

void TcpStream::setListener(ITcpStreamListener &user)
{
    m_user = &user;
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
    m_user = nullptr;
    m_isEnded = true;
    if (m_fd >= 0) {
        m_loop.remove(m_fd);
        m_fd = -1;
        try {
            m_socket.close();
        } catch (const Poco::Exception &) {
            // Nothing is left to close.
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
        // A connection that is gone already needs no reset.
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

std::string &TcpStream::input()
{
    return m_input;
}

std::size_t TcpStream::pendingOutput() const
{
    return m_output.size() - m_sent;
}

bool TcpStream::isConnected() const
{
    return m_isConnected;
}

bool TcpStream::isOpen() const
{
    return m_fd >= 0 && !m_isEnded;
}

bool TcpStream::hasInputOrEnd()
{
    if (!isOpen() || !m_input.empty()) {
        return true;
    }
    char byte = 0;
    const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
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
            end(StreamEnd::Broken);
            return;
        }
        m_isConnected = true;
        updateInterest();
        if (m_user != nullptr) {
            m_user->onConnected();
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
    std::array<char, readSize> buf{};
    StreamEnd how = StreamEnd::Closed;
    bool isEnd = false;
    bool isNew = false;
    while (m_input.size() < inputLimit) {
        const auto n = ::recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0) {
            m_input.append(buf.data(), static_cast<std::size_t>(n));
            isNew = true;
            if (static_cast<std::size_t>(n) < buf.size()) {
                break;
            }
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            break;
        }
        isEnd = true;
        how = n == 0 ? StreamEnd::Closed : StreamEnd::Broken;
        break;
    }
    if (isNew && m_user != nullptr) {
        m_user->onInput();
    }
    if (isEnd && isOpen()) {
        end(how);
    }
}

void TcpStream::flush()
{
    const bool hadOutput = pendingOutput() > 0;
    while (pendingOutput() > 0) {
        const auto n = ::send(m_fd, m_output.data() + m_sent, pendingOutput(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0) {
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                break;
            }
            // The reading side tells how it ended, so that bytes that came before are not lost.
            m_output.clear();
            m_sent = 0;
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
        m_sent += static_cast<std::size_t>(n);
    }
    if (pendingOutput() == 0) {
        m_output.clear();
        m_sent = 0;
        if (m_isOutputEnding) {
            ::shutdown(m_fd, SHUT_WR);
            m_isOutputEnding = false;
        }
    }
    updateInterest();
    if (hadOutput && pendingOutput() == 0 && m_user != nullptr) {
        m_user->onOutputSent();
    }
}

void TcpStream::end(StreamEnd how)
{
    m_isEnded = true;
    if (m_fd >= 0) {
        m_loop.remove(m_fd);
    }
    ITcpStreamListener *user = m_user;
    if (user != nullptr) {
        user->onEnd(how);
    }
}

void TcpStream::updateInterest()
{
    if (isOpen()) {
        m_loop.update(m_fd, Interest{m_isReading && m_isConnected, !m_isConnected || pendingOutput() > 0});
    }
}

} // namespace magnolia::eventloop
