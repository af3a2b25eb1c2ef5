// A loopback TCP proxy that can delay, reset or drop traffic in one or both directions.
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
    /**
     * Bytes in this direction are read and dropped. A connection that lost bytes forwards nothing more in that
     * direction, also after the fault has ended.
     */
    bool isDroppingForward = false;
    bool isDroppingBackward = false;
    /** New connections are reset. */
    bool isRefusing = false;

    [[nodiscard]] bool isNone() const
    {
        return delay == Milliseconds{0} && !isDroppingForward && !isDroppingBackward && !isRefusing;
    }
};

class Proxy : public eventloop::IReadinessHandler, public std::enable_shared_from_this<Proxy>
{
public:
    /** Forwards connections to `target` (IP:PORT). */
    Proxy(eventloop::EventLoop &loop, std::string target);

    void listen(const std::string &address);
    /** Closes the port, so that new connections are refused as by a host without the process; open ones go on. */
    void stopListening();
    /** Opens the port again at the address that it had. */
    void resumeListening();
    void setTarget(const std::string &target);
    void setFault(const LinkFault &fault);
    void resetAll();
    [[nodiscard]] std::string address() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    class ProxiedConnection;

    eventloop::EventLoop &m_loop;
    std::string m_target;
    LinkFault m_fault;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::string m_address;
    std::vector<std::shared_ptr<ProxiedConnection>> m_connections;
};

} // namespace magnolia::soak
