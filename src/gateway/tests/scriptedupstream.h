// Upstream that responds to each request as its script defines.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/eventloop/itcpstreamlistener.h"
#include "framework/eventloop/tcpstream.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::gateway::tests
{

/**
 * Returns an address that no other listener has had, in this test process or another one. A listener that is closed
 * leaves a port at which nothing else answers.
 */
[[nodiscard]] Poco::Net::SocketAddress unusedAddress();

class ScriptedUpstream : public eventloop::IReadinessHandler, public std::enable_shared_from_this<ScriptedUpstream>
{
public:
    /** A connection on which the script responds. */
    class Connection : public eventloop::ITcpStreamListener, public std::enable_shared_from_this<Connection>
    {
    public:
        explicit Connection(ScriptedUpstream &upstream);

        void send(const std::string &bytes);
        void close();
        void reset();
        /** While silent, the host acknowledges nothing on this connection, as if it was suspended. */
        void setSilent(bool isSilent);

        void onInput() override;
        void onEnd(eventloop::StreamEnd end) override;

        std::shared_ptr<eventloop::TcpStream> stream;
        Poco::Net::StreamSocket socket;

    private:
        ScriptedUpstream &m_upstream;
    };

    /** Called for each completely received request; `number` counts them from 0. */
    using Script = std::function<void(Connection &connection, const std::string &request, int number)>;

    ScriptedUpstream(eventloop::EventLoop &loop, Script script);

    void listen();
    /** Closes the port, so that new connections are refused; open ones go on. */
    void stopListening();
    /** Listens again at the address that it had. */
    void resumeListening();
    /** While hanging, neither new connections nor requests on open ones are answered. */
    void setHanging(bool isHanging);
    /** While closing, new connections are reset after `delay`, about a round trip, so that they are seen established.
     */
    void setClosing(bool isClosing, Milliseconds delay = Milliseconds(3));
    void resetConnections();
    /** Runs the script as soon as the head of a request has arrived, and leaves the body unread. */
    void setRespondingEarly();
    [[nodiscard]] std::string address() const;

    void onReady(bool isReadable, bool isWritable, bool isBroken) override;

    /** Received requests, each with head and body. */
    std::vector<std::string> requests;
    int connections = 0;
    /** Number of connections that the client has closed. */
    int closedByClient = 0;

private:
    eventloop::EventLoop &m_loop;
    Script m_script;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    bool m_isHanging = false;
    bool m_isClosing = false;
    bool m_isRespondingEarly = false;
    Milliseconds m_closingDelay{0};
    std::vector<std::shared_ptr<Connection>> m_open;
};

} // namespace magnolia::gateway::tests
