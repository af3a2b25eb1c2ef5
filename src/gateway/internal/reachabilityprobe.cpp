// Opens a connection and closes it again.
#include "gateway/internal/reachabilityprobe.h"

namespace magnolia::gateway
{

namespace
{

/** Many round trips between any two data centres, but less than the silence that callers of a stream tolerate. */
constexpr Milliseconds probeTimeout{250};

} // namespace

void ReachabilityProbe::run(eventloop::EventLoop &loop, const std::string &address,
    std::function<void(Reachability)> done, Milliseconds settleTime)
{
    const auto probe = std::make_shared<ReachabilityProbe>(loop, std::move(done), settleTime);
    probe->m_self = probe;
    probe->m_stream = eventloop::TcpStream::connect(loop, address, *probe, {});
    probe->m_timer = loop.after(probeTimeout, [weak = std::weak_ptr<ReachabilityProbe>(probe)] {
        if (const auto self = weak.lock()) {
            self->finish(Reachability::NoAnswer);
        }
    });
}

ReachabilityProbe::ReachabilityProbe(
    eventloop::EventLoop &loop, std::function<void(Reachability)> done, Milliseconds settleTime)
    : m_loop(loop)
    , m_done(std::move(done))
    , m_settleTime(settleTime)
{
}

void ReachabilityProbe::onConnected()
{
    m_isConnected = true;
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(m_settleTime, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->finish(Reachability::Reached);
        }
    });
}

void ReachabilityProbe::onInput()
{
    finish(Reachability::Reached);
}

void ReachabilityProbe::onEnd(eventloop::StreamEnd /*end*/)
{
    finish(m_isConnected            ? Reachability::Closed
            : m_stream->isRefused() ? Reachability::Refused
                                    : Reachability::NoAnswer);
}

void ReachabilityProbe::finish(Reachability reachability)
{
    const auto self = std::move(m_self);
    if (!self) {
        return;
    }
    m_loop.cancel(m_timer);
    m_stream->close();
    m_done(reachability);
}

} // namespace magnolia::gateway
