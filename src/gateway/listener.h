// Accepts connections from callers; each connection reads its requests one after the other.
#pragma once

#include "memory/memoryaccount.h"

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/global/error.h"
#include "gateway/irequesthandler.h"

#include <Poco/Net/ServerSocket.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>

namespace magnolia::gateway
{

class CallerConnection;

class Listener : public eventloop::IReadinessHandler, public std::enable_shared_from_this<Listener>
{
public:
    /** Without `account`, or if that has no limit, the memory for callers is not bounded. */
    Listener(eventloop::EventLoop &loop, IRequestHandler &handler, std::size_t maxConnections,
        memory::MemoryAccount *account = nullptr);
    ~Listener() override;

    /**
     * Listens on `address` (IP:PORT). Connections wait in the system's queue until startAccepting(). Error:
     * ListenFailed (9004).
     */
    [[nodiscard]] Result<void> listen(const std::string &address);
    void startAccepting();
    /** Accepts the connections that wait in the queue and closes the listening socket; open connections stay open. */
    void stopAccepting();
    /** Closes the listening socket and all connections at once; their requests are cancelled. */
    void closeAll();
    /**
     * Gracefully closes connections that have no request, neither in processing nor received and not yet read. From
     * then on the others close too when they become idle.
     */
    void closeIdleConnections();
    /** Calls onPartitioned() of all requests that are being processed. */
    void notifyPartitioned();
    /** Answers all requests that are being processed or read, since the process is about to end. */
    void answerAll();
    [[nodiscard]] std::size_t connectionCount() const;
    /** Number of callers that were disconnected because memory was short and they read nothing. */
    [[nodiscard]] std::uint64_t disconnectedCount() const;
    /** Number of connections with a request that has been started and not yet answered. */
    [[nodiscard]] std::size_t busyConnectionCount() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

private:
    friend class CallerConnection;
    void acceptOne();
    /** Accepts the connections that wait in the system's queue. */
    void acceptWaiting();
    void removeConnection(const std::shared_ptr<CallerConnection> &connection);
    /** Whether connections close as soon as they have no request. */
    [[nodiscard]] bool isClosingIdleConnections() const;
    /** The account if memory is limited, otherwise null. */
    [[nodiscard]] memory::MemoryAccount *limitedAccount() const;
    /** Lets `connection` read its body when memory is free, after the bodies that wait already. */
    void queueBody(const std::shared_ptr<CallerConnection> &connection);
    /** Returns the sizes of the bodies that wait. */
    [[nodiscard]] Bytes queuedBodySize() const;
    void admitBodies();
    /** Measures the progress of all callers, and disconnects some if memory is short. */
    void checkCallers();

    eventloop::EventLoop &m_loop;
    IRequestHandler &m_handler;
    std::size_t m_maxConnections;
    Poco::Net::ServerSocket m_socket;
    bool m_isListening = false;
    // Implies `m_isListening`.
    bool m_isAccepting = false;
    bool m_isClosingIdleConnections = false;
    std::unordered_set<std::shared_ptr<CallerConnection>> m_connections;
    memory::MemoryAccount *m_account;
    // Connections whose bodies wait for memory, in order of arrival.
    std::deque<std::weak_ptr<CallerConnection>> m_waitingBodies;
    bool m_isCheckingCallers = false;
    bool m_isAdmitting = false;
    std::uint64_t m_disconnectedCount = 0;
};

} // namespace magnolia::gateway
