// A loopback TCP proxy that can delay, reset or drop traffic in one or both directions.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"

#include <Poco/Net/ServerSocket.h>

#include <map>
#include <memory>
#include <optional>
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

/** How a client that is cut off sees the proxy. */
enum class ClientCut {
    /** Neither open nor new connections are answered. */
    Hanging,
    /** Open connections are reset, new ones too as soon as they are accepted. */
    Reset,
    /** Open connections go on; new ones are reset as soon as they are accepted. */
    Refusing,
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
    /** Cuts off the client with address `ip`, or ends its cut. */
    void setClientCut(const std::string &ip, std::optional<ClientCut> cut);
    [[nodiscard]] std::string address() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    class ProxiedConnection;

    /** Drops the first packets of new connections of clients that are cut off and hang. */
    void updateFilter();

    eventloop::EventLoop &m_loop;
    std::map<std::string, ClientCut> m_clientCuts;
    std::string m_target;
    LinkFault m_fault;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::string m_address;
    std::vector<std::shared_ptr<ProxiedConnection>> m_connections;
};

} // namespace magnolia::soak
