// Accepts connections from callers and reads their requests one after the other.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadiness.h"
#include "framework/global/error.h"
#include "gateway/irequesthandler.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>
#include <unordered_set>

namespace magnolia::gateway
{

class CallerConnection;

class Listener : public eventloop::IReadiness, public std::enable_shared_from_this<Listener>
{
public:
    Listener(eventloop::EventLoop &loop, ICallHandler &handler, std::size_t maxConnections);
    ~Listener() override;

    /** Error: ListenFailed (9004). */
    [[nodiscard]] Result<void> listen(const std::string &address);
    /** Accepts no further connections; open ones go on. */
    void stopAccepting();
    /** Ends connections that no request is on, in order. */
    void closeIdle();
    [[nodiscard]] std::size_t connections() const;
    /** Connections with a request that was begun and not answered. */
    [[nodiscard]] std::size_t busyConnections() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    friend class CallerConnection;
    void forget(const std::shared_ptr<CallerConnection> &connection);

    eventloop::EventLoop &m_loop;
    ICallHandler &m_handler;
    std::size_t m_maxConnections;
    Poco::Net::ServerSocket m_socket;
    bool m_isAccepting = false;
    std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace magnolia::gateway
