// Two connections that pass bytes on to each other.
#include "proxy.h"

#include "framework/eventloop/tcpstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <functional>

namespace magnolia::soak
{

class Proxy::Pair : public std::enable_shared_from_this<Proxy::Pair>
{
public:
    explicit Pair(std::weak_ptr<Proxy> proxy)
        : m_proxy(std::move(proxy))
        , m_near(*this, true)
        , m_far(*this, false)
    {
    }

    void start(eventloop::EventLoop &loop, const Poco::Net::StreamSocket &socket, const std::string &target)
    {
        m_far.stream = eventloop::TcpStream::connect(loop, target, m_far, {});
        m_near.stream = eventloop::TcpStream::adopt(loop, socket, m_near, {});
    }

    void reset()
    {
        m_isOver = true;
        m_near.stream->reset();
        m_far.stream->reset();
    }

private:
    struct Side : eventloop::ITcpStreamListener
    {
        Side(Pair &thePair, bool isNearSide)
            : pair(thePair)
            , isNear(isNearSide)
        {
        }

        void onInput() override
        {
            std::string bytes = std::move(stream->input());
            stream->input().clear();
            pair.pass(*this, std::move(bytes));
        }
        void onEnd(eventloop::StreamEnd end) override
        {
            pair.onEnd(*this, end);
        }

        Pair &pair;
        bool isNear;
        std::shared_ptr<eventloop::TcpStream> stream;
        // Bytes that come later must not overtake.
        MonoTime lastAt{};
        // A byte was lost, so that nothing more may follow.
        bool isCut = false;
        bool hasEnded = false;
    };

    Side &otherOf(const Side &side)
    {
        return side.isNear ? m_far : m_near;
    }

    void pass(Side &from, std::string bytes)
    {
        const auto proxy = m_proxy.lock();
        if (!proxy || m_isOver) {
            return;
        }
        from.isCut = from.isCut || (from.isNear ? proxy->m_fault.losesForward : proxy->m_fault.losesBackward);
        if (!from.isCut) {
            later(from, [bytes = std::move(bytes)](eventloop::TcpStream &to) {
                to.write(bytes);
            });
        }
    }

    void later(Side &from, std::function<void(eventloop::TcpStream &)> action)
    {
        const auto proxy = m_proxy.lock();
        eventloop::EventLoop &loop = proxy->m_loop;
        const MonoTime due = std::max(from.lastAt, loop.now() + proxy->m_fault.delay);
        from.lastAt = due;
        if (due <= loop.now()) {
            action(*otherOf(from).stream);
            return;
        }
        loop.after(toMilliseconds(due - loop.now()) + Milliseconds(1),
            [self = shared_from_this(), &from, action = std::move(action)] {
                if (!self->m_isOver && self->otherOf(from).stream->isOpen()) {
                    action(*self->otherOf(from).stream);
                }
            });
    }

    void onEnd(Side &side, eventloop::StreamEnd end)
    {
        const auto self = shared_from_this();
        const auto proxy = m_proxy.lock();
        if (!proxy || m_isOver) {
            return;
        }
        if (side.isCut) {
            // The other side never learns of it.
            side.stream->close();
        } else if (end == eventloop::StreamEnd::Broken) {
            reset();
        } else {
            later(side, [](eventloop::TcpStream &to) {
                to.shutdownOutput();
            });
        }
        side.hasEnded = true;
        if (m_isOver || (m_near.hasEnded && m_far.hasEnded)) {
            std::erase(proxy->m_pairs, self);
        }
    }

    std::weak_ptr<Proxy> m_proxy;
    Side m_near;
    Side m_far;
    bool m_isOver = false;
};

Proxy::Proxy(eventloop::EventLoop &loop, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
{
}

void Proxy::listen(const std::string &address)
{
    m_socket.bind(Poco::Net::SocketAddress(address), true);
    m_socket.listen();
    m_socket.setBlocking(false);
    m_loop.add(m_socket.impl()->sockfd(), shared_from_this(), {true, false});
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
    const auto pairs = std::move(m_pairs);
    m_pairs.clear();
    for (const auto &it : pairs) {
        it->reset();
    }
}

std::string Proxy::address() const
{
    return m_socket.address().toString();
}

void Proxy::onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/)
{
    try {
        Poco::Net::StreamSocket socket = m_socket.acceptConnection();
        if (m_fault.isRefusing) {
            socket.setLinger(true, 0);
            socket.close();
            return;
        }
        auto made = std::make_shared<Pair>(weak_from_this());
        m_pairs.push_back(made);
        made->start(m_loop, socket, m_target);
    } catch (const Poco::Exception &) {
        // The other side has gone already.
        return;
    }
}

} // namespace magnolia::soak
