// A caller at a listener, over the loopback interface.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"

#include <memory>
#include <string>

namespace magnolia::gateway::tests
{

/** A caller that reads only if told to, and otherwise has a small receive buffer. */
struct LoopbackCaller : eventloop::ITcpStreamListener
{
    LoopbackCaller(eventloop::EventLoop &loop, const std::string &address, bool isReading);

    void onInput() override;
    void onEnd(eventloop::StreamEnd end) override;

    std::shared_ptr<eventloop::TcpStream> stream;
    std::string received;
    bool isEnded = false;
};

} // namespace magnolia::gateway::tests
