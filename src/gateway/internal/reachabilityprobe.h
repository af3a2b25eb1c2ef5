// Opens a new connection to test whether a silent upstream is reachable.
//
// An open connection may become silent permanently while new ones work, so silence alone does not prove a failure.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"

#include <functional>
#include <memory>
#include <string>

namespace magnolia::gateway
{

enum class Reachability {
    Reached,
    /** The host answered that nothing listens at the address. */
    Refused,
    /** The connection ended as soon as it was established; something on the way, or an upstream without room, did it.
     */
    Closed,
    NoAnswer,
};

class ReachabilityProbe : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<ReachabilityProbe>
{
public:
    /** Round trips in which the other end closes a connection that it does not want. */
    static constexpr Milliseconds defaultSettleTime{20};

    /** Calls `done` once. A connection that ends within `settleTime` without any byte does not count as reached. */
    static void run(eventloop::EventLoop &loop, const std::string &address, std::function<void(Reachability)> done,
        Milliseconds settleTime = defaultSettleTime);

    ReachabilityProbe(eventloop::EventLoop &loop, std::function<void(Reachability)> done, Milliseconds settleTime);

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    void finish(Reachability reachability);

    eventloop::EventLoop &m_loop;
    std::function<void(Reachability)> m_done;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    // Keeps the probe alive until it has finished.
    std::shared_ptr<ReachabilityProbe> m_self;
    Milliseconds m_settleTime;
    bool m_isConnected = false;
    eventloop::TimerId m_timer = 0;
};

} // namespace magnolia::gateway
