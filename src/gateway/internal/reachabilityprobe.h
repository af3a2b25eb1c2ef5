// Tests by a new connection whether an upstream that has fallen silent can be reached at all.
//
// An open connection may go silent for good while new ones work, so silence alone proves nothing.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamuser.h"
#include "framework/eventloop/tcpstream.h"

#include <functional>
#include <memory>
#include <string>

namespace magnolia::gateway
{

class ReachabilityTest : public eventloop::ITcpStreamUser, public std::enable_shared_from_this<ReachabilityTest>
{
public:
    /** `done` is called once, with whether a connection came about in time. */
    static void run(eventloop::EventLoop &loop, const std::string &address, std::function<void(bool)> done);

    ReachabilityTest(eventloop::EventLoop &loop, std::function<void(bool)> done);

    void onConnected() override;
    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

private:
    void finish(bool isReached);

    eventloop::EventLoop &m_loop;
    std::function<void(bool)> m_done;
    std::shared_ptr<eventloop::TcpStream> m_stream;
    // Keeps the test alive until it has ended.
    std::shared_ptr<ReachabilityTest> m_self;
    eventloop::TimerId m_timer = 0;
};

} // namespace magnolia::gateway
