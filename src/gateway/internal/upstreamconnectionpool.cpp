// Keeps idle connections for reuse.
#include "gateway/internal/upstreamconnectionpool.h"

#include "framework/eventloop/itcpstreamlistener.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Maximum number of idle connections per upstream. Streams use a connection for seconds, so few are idle at once. */
constexpr std::size_t maxIdleConnections = 8;

} // namespace

class UpstreamConnectionPool::IdleConnection : public eventloop::ITcpStreamListener
{
public:
    IdleConnection(UpstreamConnectionPool &pool, std::string address, std::shared_ptr<eventloop::TcpStream> connection)
        : stream(std::move(connection))
        , m_pool(pool)
        , m_address(std::move(address))
    {
    }

    // Unsolicited bytes belong to no request, so the connection is not reused.
    void onInput() override
    {
        m_pool.remove(m_address, this);
    }
    void onEnd(eventloop::StreamEnd /*end*/) override
    {
        m_pool.remove(m_address, this);
    }

    std::shared_ptr<eventloop::TcpStream> stream;
    eventloop::TimerId timer = 0;

private:
    UpstreamConnectionPool &m_pool;
    std::string m_address;
};

UpstreamConnectionPool::UpstreamConnectionPool(eventloop::EventLoop &loop)
    : m_loop(loop)
{
}

UpstreamConnectionPool::~UpstreamConnectionPool() = default;

std::shared_ptr<eventloop::TcpStream> UpstreamConnectionPool::take(const std::string &address)
{
    const auto it = m_idleByAddress.find(address);
    if (it == m_idleByAddress.end()) {
        return nullptr;
    }
    while (!it->second.empty()) {
        const std::shared_ptr<IdleConnection> idle = it->second.back();
        it->second.pop_back();
        m_loop.cancel(idle->timer);
        if (!idle->stream->hasInputOrEnd()) {
            return idle->stream;
        }
        idle->stream->close();
    }
    return nullptr;
}

void UpstreamConnectionPool::keep(
    const std::string &address, std::shared_ptr<eventloop::TcpStream> stream, Milliseconds time)
{
    auto &list = m_idleByAddress[address];
    if (list.size() >= maxIdleConnections || time.count() <= 0) {
        stream->close();
        return;
    }
    const auto idle = std::make_shared<IdleConnection>(*this, address, std::move(stream));
    idle->stream->setListener(*idle);
    idle->timer = m_loop.after(time, [this, address, raw = idle.get()] {
        remove(address, raw);
    });
    list.push_back(idle);
}

void UpstreamConnectionPool::closeAll(const std::string &address)
{
    const auto it = m_idleByAddress.find(address);
    if (it != m_idleByAddress.end()) {
        for (const auto &idle : it->second) {
            m_loop.cancel(idle->timer);
            idle->stream->close();
        }
        m_idleByAddress.erase(it);
    }
}

void UpstreamConnectionPool::remove(const std::string &address, const IdleConnection *idle)
{
    const auto it = m_idleByAddress.find(address);
    if (it == m_idleByAddress.end()) {
        return;
    }
    const auto found = std::find_if(it->second.begin(), it->second.end(), [&](const auto &connection) {
        return connection.get() == idle;
    });
    if (found != it->second.end()) {
        const std::shared_ptr<IdleConnection> connection = *found;
        it->second.erase(found);
        m_loop.cancel(connection->timer);
        connection->stream->close();
        // The stream may be calling this object, so its destruction is deferred.
        m_loop.defer([connection] {});
    }
}

} // namespace magnolia::gateway
