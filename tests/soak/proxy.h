// A loopback proxy whose connections can be delayed, reset, cut in one direction or silenced.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>
#include <vector>

namespace magnolia::soak
{

struct LinkFault
{
    Milliseconds delay{0};
    /** Bytes in this direction are taken and lost; the connections they belonged to stay silent for good. */
    bool losesForward = false;
    bool losesBackward = false;
    /** New connections are reset. */
    bool isRefusing = false;

    [[nodiscard]] bool isNone() const
    {
        return delay == Milliseconds{0} && !losesForward && !losesBackward && !isRefusing;
    }
};

class Proxy : public eventloop::IReadinessHandler, public std::enable_shared_from_this<Proxy>
{
public:
    /** Passes on to `target` (IP:PORT), which may change. */
    Proxy(eventloop::EventLoop &loop, std::string target);

    void listen(const std::string &address);
    void setTarget(const std::string &target);
    void setFault(const LinkFault &fault);
    void resetAll();
    [[nodiscard]] std::string address() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    class Pair;

    eventloop::EventLoop &m_loop;
    std::string m_target;
    LinkFault m_fault;
    Poco::Net::ServerSocket m_socket;
    std::vector<std::shared_ptr<Pair>> m_pairs;
};

} // namespace magnolia::soak
