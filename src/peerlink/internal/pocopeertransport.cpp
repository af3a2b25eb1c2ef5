// Datagrams and requests over POCO's sockets. No exception may leave this file.
#include "peerlink/internal/pocopeertransport.h"

#include "framework/logging/log.h"
#include "peerlink/internal/tcpframes.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/Timespan.h>

#include <mutex>
#include <optional>

namespace magnolia::peerlink
{
namespace
{

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr std::string_view logModule = "peerlink";
/** Interval at which the receiving thread checks whether it must stop. */
constexpr long receivePollMicroseconds = 100'000;
constexpr int serverThreadStackBytes = 256 * 1024;
constexpr int serverThreadIdleSeconds = 30;
constexpr std::size_t receiveBufferBytes = 65536;

class RequestConnection : public Poco::Net::TCPServerConnection
{
public:
    RequestConnection(const StreamSocket &socket, PocoPeerTransport &transport)
        : TCPServerConnection(socket)
        , m_transport(transport)
    {
    }
    void run() override
    {
        m_transport.serve(socket());
    }

private:
    PocoPeerTransport &m_transport;
};

class RequestConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit RequestConnectionFactory(PocoPeerTransport &transport)
        : m_transport(transport)
    {
    }
    Poco::Net::TCPServerConnection *createConnection(const StreamSocket &socket) override
    {
        return new RequestConnection(socket, m_transport);
    }

private:
    PocoPeerTransport &m_transport;
};

ReceivedMessage receivedMessage(const Envelope &envelope, const std::string &from)
{
    return {envelope.sender, envelope.senderIncarnation, from, envelope.payload};
}

} // namespace

PocoPeerTransport::PocoPeerTransport(
    PeerIdentity identity, PeerKeys keys, const PeerLinkParameters &parameters, const IClock &clock)
    : m_identity(std::move(identity))
    , m_parameters(parameters)
    , m_session(m_identity, std::move(keys), parameters, clock)
{
}

PocoPeerTransport::~PocoPeerTransport()
{
    stop();
}

Result<void> PocoPeerTransport::start()
{
    try {
        bindSockets();
        m_isRunning = true;
        m_server->start();
        m_receiver = std::thread([this] {
            receiveDatagrams();
        });
        return {};
    } catch (const Poco::Exception &ex) {
        m_isRunning = false;
        return makeError(ResultCode::ListenFailed, m_identity.listenAddress + ": " + ex.displayText());
    }
}

// Binds TCP first, because the system may choose the port; UDP then uses the same number.
void PocoPeerTransport::bindSockets()
{
    Poco::Net::ServerSocket listener;
    listener.bind(SocketAddress(m_identity.listenAddress), true);
    listener.listen(m_parameters.maxQueuedConnections);
    m_boundAddress = listener.address().toString();
    m_datagramSocket = Poco::Net::DatagramSocket(SocketAddress(m_boundAddress), false);
    m_datagramSocket.setReceiveTimeout(Poco::Timespan(receivePollMicroseconds));

    m_serverThreads = std::make_unique<Poco::ThreadPool>(
        1, m_parameters.maxServerThreads, serverThreadIdleSeconds, serverThreadStackBytes);
    Poco::Net::TCPServerParams::Ptr serverParams = new Poco::Net::TCPServerParams;
    serverParams->setMaxThreads(m_parameters.maxServerThreads);
    serverParams->setMaxQueued(m_parameters.maxQueuedConnections);
    m_server = std::make_unique<Poco::Net::TCPServer>(
        new RequestConnectionFactory(*this), *m_serverThreads, listener, serverParams);
}

void PocoPeerTransport::stop()
{
    if (!m_isRunning.exchange(false)) {
        return;
    }
    if (m_receiver.joinable()) {
        m_receiver.join();
    }
    m_server->stop();
    m_serverThreads->joinAll();
    m_server.reset();
    m_serverThreads.reset();
    m_datagramSocket.close();
}

void PocoPeerTransport::setDatagramHandler(MessageType type, DatagramHandler handler)
{
    const std::unique_lock lock(m_datagramMutex);
    m_datagramHandlers[type] = std::move(handler);
}

void PocoPeerTransport::setRequestHandler(MessageType type, RequestHandler handler)
{
    const std::unique_lock lock(m_requestMutex);
    m_requestHandlers[type] = std::move(handler);
}

Result<void> PocoPeerTransport::send(const PeerAddress &to, MessageType type, std::string payload)
{
    const auto message = m_session.encodeMessage({to.instance, type}, std::move(payload));
    if (!message) {
        return tl::unexpected(message.error());
    }
    const std::string &bytes = message->bytes;
    if (bytes.size() > m_parameters.maxDatagramBytes) {
        return makeError(
            ResultCode::PeerMessageMalformed, "the message is too large for a datagram; send it as a request");
    }
    try {
        m_datagramSocket.sendTo(bytes.data(), static_cast<int>(bytes.size()), SocketAddress(to.address));
    } catch (const Poco::Exception &ex) {
        return makeError(ResultCode::PeerUnreachable, to.address + ": " + ex.displayText());
    }
    m_session.updateCounters([&](PeerLinkCounters &counters) {
        ++counters.datagramsSent;
        counters.bytesSent += bytes.size();
    });
    return {};
}

Result<std::string> PocoPeerTransport::request(
    const PeerAddress &to, MessageType type, std::string payload, Milliseconds timeout)
{
    const auto message = m_session.encodeMessage({to.instance, type}, std::move(payload));
    if (!message) {
        return tl::unexpected(message.error());
    }
    if (message->bytes.size() > m_parameters.maxMessageBytes) {
        return makeError(ResultCode::PeerMessageMalformed, "the request exceeds the maximum message size");
    }
    bool isSent = false;
    try {
        return exchange(to, *message, type, timeout, isSent);
    } catch (const Poco::Exception &ex) {
        const Outcome outcome = isSent ? Outcome::Unknown : Outcome::NotRun;
        const std::string detail = to.instance.value() + " at " + to.address + ": " + ex.displayText();
        return tl::unexpected(Error{ResultCode::PeerUnreachable, detail, outcome, std::nullopt});
    }
}

Result<std::string> PocoPeerTransport::exchange(
    const PeerAddress &to, const EncodedMessage &message, MessageType type, Milliseconds timeout, bool &isSent)
{
    const MonoTime deadline = frameDeadline(timeout);
    StreamSocket socket;
    socket.connect(SocketAddress(to.address), Poco::Timespan(Microseconds(timeout).count()));
    socket.setNoDelay(true);
    isSent = true;
    writeFrame(socket, message.bytes, deadline);
    m_session.updateCounters([&](PeerLinkCounters &counters) {
        ++counters.requestsSent;
        counters.bytesSent += message.bytes.size() + frameHeaderBytes;
    });
    const auto frame = readFrame(socket, m_parameters.maxMessageBytes, deadline);
    if (!frame) {
        const std::string detail = to.instance.value() + " closed the connection without a complete answer";
        return tl::unexpected(Error{ResultCode::PeerUnreachable, detail, Outcome::Unknown, std::nullopt});
    }
    m_session.updateCounters([&](PeerLinkCounters &counters) {
        counters.bytesReceived += frame->size() + frameHeaderBytes;
    });
    auto answer = m_session.acceptMessage(*frame, m_parameters.maxMessageBytes);
    if (!answer) {
        answer.error().outcome = Outcome::Unknown;
        return tl::unexpected(answer.error());
    }
    if (answer->sender != to.instance || answer->inReplyTo != message.sequence || answer->type != type) {
        return tl::unexpected(Error{
            ResultCode::PeerMessageForged, "the answer belongs to another request", Outcome::Unknown, std::nullopt});
    }
    if (answer->resultCode != 0) {
        const auto code = static_cast<ResultCode>(answer->resultCode);
        return tl::unexpected(Error{code, answer->payload, Outcome::Unknown, std::nullopt});
    }
    return std::move(answer->payload);
}

void PocoPeerTransport::serve(StreamSocket &socket)
{
    try {
        const auto frame = readFrame(socket, m_parameters.maxMessageBytes, frameDeadline(m_parameters.serverTimeout));
        if (!frame) {
            m_session.updateCounters([](PeerLinkCounters &counters) {
                ++counters.malformed;
            });
            return;
        }
        const auto envelope = m_session.acceptMessage(*frame, m_parameters.maxMessageBytes);
        // An answer is never handled as a request; otherwise an attacker could reflect messages off this server.
        if (!envelope || envelope->inReplyTo != 0) {
            return;
        }
        m_session.updateCounters([&](PeerLinkCounters &counters) {
            ++counters.requestsServed;
            counters.bytesReceived += frame->size() + frameHeaderBytes;
        });
        Result<std::string> result = handleRequest(*envelope, socket.peerAddress().toString());
        const ResultCode code = result ? ResultCode::Ok : result.error().code;
        const auto answer = m_session.encodeMessage({envelope->sender, envelope->type, envelope->sequence, code},
            result ? std::move(*result) : result.error().detail);
        if (answer && answer->bytes.size() <= m_parameters.maxMessageBytes) {
            writeFrame(socket, answer->bytes, frameDeadline(m_parameters.serverTimeout));
            m_session.updateCounters([&](PeerLinkCounters &counters) {
                counters.bytesSent += answer->bytes.size() + frameHeaderBytes;
            });
        }
    } catch (const std::exception &ex) {
        logging::write(logging::Level::Debug, logModule, "request_aborted", {{"reason", std::string_view(ex.what())}});
    }
}

Result<std::string> PocoPeerTransport::handleRequest(const Envelope &envelope, const std::string &from)
{
    const std::shared_lock lock(m_requestMutex);
    const auto it = m_requestHandlers.find(envelope.type);
    if (it == m_requestHandlers.end() || !it->second) {
        m_session.updateCounters([](PeerLinkCounters &counters) {
            ++counters.unhandled;
        });
        return makeError(ResultCode::PeerMessageMalformed, "no handler is set for this request type");
    }
    return it->second(receivedMessage(envelope, from));
}

void PocoPeerTransport::receiveDatagrams()
{
    std::string buf(receiveBufferBytes, '\0');
    while (m_isRunning) {
        try {
            receiveOneDatagram(buf);
        } catch (const Poco::TimeoutException &) {
            continue;
        } catch (const std::exception &ex) {
            // An ICMP error caused by an earlier send is reported here; the socket remains usable.
            logging::write(
                logging::Level::Debug, logModule, "receive_failed", {{"reason", std::string_view(ex.what())}});
        }
    }
}

void PocoPeerTransport::receiveOneDatagram(std::string &buf)
{
    SocketAddress from;
    const int n = m_datagramSocket.receiveFrom(buf.data(), static_cast<int>(buf.size()), from);
    if (n > 0) {
        handleDatagram(std::string_view(buf).substr(0, static_cast<std::size_t>(n)), from.toString());
    }
}

void PocoPeerTransport::handleDatagram(std::string_view bytes, const std::string &from)
{
    m_session.updateCounters([&](PeerLinkCounters &counters) {
        ++counters.datagramsReceived;
        counters.bytesReceived += bytes.size();
    });
    const auto envelope = m_session.acceptMessage(bytes, m_parameters.maxDatagramBytes);
    if (!envelope) {
        logging::write(logging::Level::Debug, logModule, "refused",
            {{"code", static_cast<std::uint64_t>(envelope.error().code)}, {"from", std::string_view(from)}});
        return;
    }
    const std::shared_lock lock(m_datagramMutex);
    const auto it = m_datagramHandlers.find(envelope->type);
    if (it == m_datagramHandlers.end() || !it->second) {
        m_session.updateCounters([](PeerLinkCounters &counters) {
            ++counters.unhandled;
        });
        return;
    }
    it->second(receivedMessage(*envelope, from));
}

void PocoPeerTransport::setKeys(PeerKeys keys)
{
    m_session.setKeys(std::move(keys));
}

PeerLinkCounters PocoPeerTransport::counters() const
{
    return m_session.counters();
}

std::string PocoPeerTransport::boundAddress() const
{
    return m_boundAddress;
}

} // namespace magnolia::peerlink
