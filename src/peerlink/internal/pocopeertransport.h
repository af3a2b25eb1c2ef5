// Peer transport over POCO's sockets: one thread receives datagrams, and a small TCP server answers requests.
#pragma once

#include "peerlink/internal/peersession.h"
#include "peerlink/ipeertransport.h"
#include "peerlink/peertransport.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <thread>

namespace magnolia::peerlink
{

class PocoPeerTransport : public IPeerTransport
{
public:
    PocoPeerTransport(PeerIdentity identity, PeerKeys keys, const PeerLinkParameters &parameters, const IClock &clock);
    ~PocoPeerTransport() override;
    PocoPeerTransport(const PocoPeerTransport &) = delete;
    PocoPeerTransport &operator=(const PocoPeerTransport &) = delete;

    [[nodiscard]] Result<void> start() override;
    void stop() override;
    void setDatagramHandler(MessageType type, DatagramHandler handler) override;
    void setRequestHandler(MessageType type, RequestHandler handler) override;
    [[nodiscard]] Result<void> send(const PeerAddress &to, MessageType type, std::string payload) override;
    [[nodiscard]] Result<std::string> request(
        const PeerAddress &to, MessageType type, std::string payload, Milliseconds timeout) override;
    void setKeys(PeerKeys keys) override;
    [[nodiscard]] PeerLinkCounters counters() const override;
    [[nodiscard]] std::string boundAddress() const override;

    /** Serves one request on an accepted connection; called on the server's threads. */
    void serve(Poco::Net::StreamSocket &socket);

private:
    void bindSockets();
    void receiveDatagrams();
    void receiveOneDatagram(std::string &buf);
    void handleDatagram(std::string_view bytes, const std::string &from);
    [[nodiscard]] Result<std::string> exchange(
        const PeerAddress &to, const EncodedMessage &message, MessageType type, Milliseconds timeout, bool &isSent);
    [[nodiscard]] Result<std::string> handleRequest(const Envelope &envelope, const std::string &from);

    const PeerIdentity m_identity;
    const PeerLinkParameters m_parameters;
    PeerSession m_session;
    // Each is locked shared while a handler of its kind runs.
    std::shared_mutex m_datagramMutex;
    std::shared_mutex m_requestMutex;
    std::map<MessageType, DatagramHandler> m_datagramHandlers;
    std::map<MessageType, RequestHandler> m_requestHandlers;
    std::atomic<bool> m_isRunning = false;
    Poco::Net::DatagramSocket m_datagramSocket;
    std::string m_boundAddress;
    // Invariant: both set while the transport runs; the pool outlives the server.
    std::unique_ptr<Poco::ThreadPool> m_serverThreads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    std::thread m_receiver;
};

} // namespace magnolia::peerlink
