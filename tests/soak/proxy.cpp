// Forwards bytes between the client connection and the target connection.
#include "proxy.h"

#include "framework/eventloop/tcpstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <functional>
#include <linux/filter.h>
#include <sys/socket.h>

namespace magnolia::soak
{

class Proxy::ProxiedConnection : public std::enable_shared_from_this<Proxy::ProxiedConnection>
{
public:
    explicit ProxiedConnection(std::weak_ptr<Proxy> proxy)
        : m_proxy(std::move(proxy))
        , m_clientSide(*this, true)
        , m_targetSide(*this, false)
    {
    }

    void start(eventloop::EventLoop &loop, const Poco::Net::StreamSocket &socket, const std::string &target)
    {
        m_clientIp = socket.peerAddress().host().toString();
        // The target sees the address of the client.
        m_targetSide.stream = eventloop::TcpStream::connect(loop, target, m_targetSide, {}, m_clientIp);
        m_clientSide.stream = eventloop::TcpStream::adopt(loop, socket, m_clientSide, {});
    }

    [[nodiscard]] const std::string &clientIp() const
    {
        return m_clientIp;
    }

    /** From now on nothing is forwarded in either direction, nor is the end of the connection. */
    void hang()
    {
        m_clientSide.isDropping = true;
        m_targetSide.isDropping = true;
    }

    void reset()
    {
        m_isClosed = true;
        m_clientSide.stream->reset();
        m_targetSide.stream->reset();
    }

private:
    struct Side : eventloop::ITcpStreamListener
    {
        Side(ProxiedConnection &owner, bool isClient)
            : connection(owner)
            , isClientSide(isClient)
        {
        }

        void onInput() override
        {
            std::string bytes = std::move(stream->input());
            stream->input().clear();
            connection.forward(*this, std::move(bytes));
        }
        void onEnd(eventloop::StreamEnd end) override
        {
            connection.onEnd(*this, end);
        }

        ProxiedConnection &connection;
        bool isClientSide;
        std::shared_ptr<eventloop::TcpStream> stream;
        // Later bytes must not be sent before earlier ones when the delay shrinks.
        MonoTime lastDue{};
        // Bytes from this side were dropped, so later bytes must not be forwarded.
        bool isDropping = false;
        bool hasEnded = false;
    };

    Side &oppositeSide(const Side &side)
    {
        return side.isClientSide ? m_targetSide : m_clientSide;
    }

    void forward(Side &from, std::string bytes)
    {
        const auto proxy = m_proxy.lock();
        if (!proxy || m_isClosed) {
            return;
        }
        from.isDropping = from.isDropping
            || (from.isClientSide ? proxy->m_fault.isDroppingForward : proxy->m_fault.isDroppingBackward);
        if (!from.isDropping) {
            scheduleAction(from, [bytes = std::move(bytes)](eventloop::TcpStream &to) {
                to.write(bytes);
            });
        }
    }

    void scheduleAction(Side &from, std::function<void(eventloop::TcpStream &)> action)
    {
        const auto proxy = m_proxy.lock();
        eventloop::EventLoop &loop = proxy->m_loop;
        const MonoTime due = std::max(from.lastDue, loop.now() + proxy->m_fault.delay);
        from.lastDue = due;
        if (due <= loop.now()) {
            action(*oppositeSide(from).stream);
            return;
        }
        loop.after(toMilliseconds(due - loop.now()) + Milliseconds(1),
            [self = shared_from_this(), &from, action = std::move(action)] {
                if (!self->m_isClosed && self->oppositeSide(from).stream->isOpen()) {
                    action(*self->oppositeSide(from).stream);
                }
            });
    }

    void onEnd(Side &side, eventloop::StreamEnd end)
    {
        const auto self = shared_from_this();
        const auto proxy = m_proxy.lock();
        if (!proxy || m_isClosed) {
            return;
        }
        if (side.isDropping) {
            // The opposite side must not see the end of the connection.
            side.stream->close();
        } else if (end == eventloop::StreamEnd::Broken) {
            reset();
        } else {
            scheduleAction(side, [](eventloop::TcpStream &to) {
                to.shutdownOutput();
            });
        }
        side.hasEnded = true;
        if (m_isClosed || (m_clientSide.hasEnded && m_targetSide.hasEnded)) {
            std::erase(proxy->m_connections, self);
        }
    }

    std::weak_ptr<Proxy> m_proxy;
    std::string m_clientIp;
    Side m_clientSide;
    Side m_targetSide;
    bool m_isClosed = false;
};

Proxy::Proxy(eventloop::EventLoop &loop, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
{
}

void Proxy::listen(const std::string &address)
{
    m_socket = std::make_unique<Poco::Net::ServerSocket>();
    m_socket->bind(Poco::Net::SocketAddress(address), true);
    m_socket->listen();
    m_socket->setBlocking(false);
    m_address = m_socket->address().toString();
    m_loop.add(m_socket->impl()->sockfd(), shared_from_this(), {true, false});
    updateFilter();
}

void Proxy::stopListening()
{
    if (m_socket) {
        m_loop.remove(m_socket->impl()->sockfd());
        m_socket.reset();
    }
}

void Proxy::resumeListening()
{
    if (!m_socket) {
        listen(m_address);
    }
}

void Proxy::setTarget(const std::string &target)
{
    m_target = target;
}

void Proxy::setFault(const LinkFault &fault)
{
    m_fault = fault;
}

void Proxy::resetAll()
{
    const auto connections = std::move(m_connections);
    m_connections.clear();
    for (const auto &it : connections) {
        it->reset();
    }
}

void Proxy::setClientCut(const std::string &ip, std::optional<ClientCut> cut)
{
    if (cut) {
        m_clientCuts[ip] = *cut;
    } else {
        m_clientCuts.erase(ip);
    }
    updateFilter();
    const auto connections = m_connections;
    for (const auto &it : connections) {
        if (it->clientIp() != ip) {
            continue;
        }
        if (cut == ClientCut::Hanging) {
            it->hang();
        } else if (cut == ClientCut::Reset) {
            it->reset();
            std::erase(m_connections, it);
        }
    }
}

void Proxy::updateFilter()
{
    if (!m_socket) {
        return;
    }
    constexpr std::uint32_t sourceOffset = 12;
    std::vector<sock_filter> program{
        {BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<std::uint32_t>(SKF_NET_OFF) + sourceOffset}};
    for (const auto &[ip, cut] : m_clientCuts) {
        if (cut == ClientCut::Hanging) {
            const std::uint32_t source = ntohl(inet_addr(ip.c_str()));
            program.push_back({BPF_JMP | BPF_JEQ | BPF_K, 0, 1, source});
            program.push_back({BPF_RET | BPF_K, 0, 0, 0});
        }
    }
    program.push_back({BPF_RET | BPF_K, 0, 0, UINT32_MAX});
    const sock_fprog filter{static_cast<unsigned short>(program.size()), program.data()};
    ::setsockopt(m_socket->impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

std::string Proxy::address() const
{
    return m_address;
}

void Proxy::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    try {
        Poco::Net::StreamSocket socket = m_socket->acceptConnection();
        if (m_fault.isRefusing || m_clientCuts.contains(socket.peerAddress().host().toString())) {
            socket.setLinger(true, 0);
            socket.close();
            return;
        }
        auto connection = std::make_shared<ProxiedConnection>(weak_from_this());
        m_connections.push_back(connection);
        connection->start(m_loop, socket, m_target);
    } catch (const Poco::Exception &) {
        // The client closed the connection before it was accepted.
        return;
    }
}

} // namespace magnolia::soak
