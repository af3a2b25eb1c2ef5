// Keeping of connections.
#include "gateway/internal/upstreamconnectionpool.h"

#include "framework/eventloop/itcpstreamuser.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Connections kept to one upstream; streams hold theirs for seconds, so that few are idle at once. */
constexpr std::size_t mostKept = 8;

} // namespace

class UpstreamPool::Idle : public eventloop::ITcpStreamUser
{
public:
    Idle(UpstreamPool &pool, std::string address, std::shared_ptr<eventloop::TcpStream> kept)
        : stream(std::move(kept))
        , m_pool(pool)
        , m_address(std::move(address))
    {
    }

    // Bytes that nobody asked for belong to no request: the connection is not used again.
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
    UpstreamPool &m_pool;
    std::string m_address;
};

UpstreamPool::UpstreamPool(eventloop::EventLoop &loop)
    : m_loop(loop)
{
}

UpstreamPool::~UpstreamPool() = default;

std::shared_ptr<eventloop::TcpStream> UpstreamPool::take(const std::string &address)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end()) {
        return nullptr;
    }
    while (!it->second.empty()) {
        const std::shared_ptr<Idle> idle = it->second.back();
        it->second.pop_back();
        m_loop.cancel(idle->timer);
        if (!idle->stream->hasNews()) {
            return idle->stream;
        }
        idle->stream->close();
    }
    return nullptr;
}

void UpstreamPool::keep(const std::string &address, std::shared_ptr<eventloop::TcpStream> stream, Milliseconds time)
{
    auto &list = m_idle[address];
    if (list.size() >= mostKept || time.count() <= 0) {
        stream->close();
        return;
    }
    const auto idle = std::make_shared<Idle>(*this, address, std::move(stream));
    idle->stream->setUser(*idle);
    idle->timer = m_loop.after(time, [this, address, raw = idle.get()] {
        remove(address, raw);
    });
    list.push_back(idle);
}

void UpstreamPool::drop(const std::string &address)
{
    const auto it = m_idle.find(address);
    if (it != m_idle.end()) {
        for (const auto &idle : it->second) {
            m_loop.cancel(idle->timer);
            idle->stream->close();
        }
        m_idle.erase(it);
    }
}

void UpstreamPool::remove(const std::string &address, const Idle *idle)
{
    const auto it = m_idle.find(address);
    if (it == m_idle.end()) {
        return;
    }
    const auto found = std::find_if(it->second.begin(), it->second.end(), [&](const auto &kept) {
        return kept.get() == idle;
    });
    if (found != it->second.end()) {
        const std::shared_ptr<Idle> kept = *found;
        it->second.erase(found);
        m_loop.cancel(kept->timer);
        kept->stream->close();
        // The idle one may be in a call of its stream.
        m_loop.defer([kept] {});
    }
}

} // namespace magnolia::gateway
