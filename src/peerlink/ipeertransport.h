// Transport to other instances: authenticated datagrams, and requests with an answer for larger messages.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "peerlink/types/messagetype.h"
#include "peerlink/types/peeraddress.h"
#include "peerlink/types/peerkeys.h"
#include "peerlink/types/peerlinkcounters.h"

#include <functional>
#include <string>

namespace magnolia::peerlink
{

/** An authenticated message as its handler receives it. */
struct ReceivedMessage
{
    InstanceId sender;
    Incarnation senderIncarnation;
    /** Source address of the message; for a TCP request, its port is not that of the peer's listener. */
    std::string fromAddress;
    std::string payload;
};

/** Called on the only receiving thread, so it must not block. */
using DatagramHandler = std::function<void(const ReceivedMessage &message)>;
/** Called concurrently on server threads; the returned payload or error is the answer. */
using RequestHandler = std::function<Result<std::string>(const ReceivedMessage &message)>;

class IPeerTransport
{
public:
    virtual ~IPeerTransport() = default;

    /** Binds the sockets and starts the threads. Error: ListenFailed (9004). */
    [[nodiscard]] virtual Result<void> start() = 0;
    /** Ends all threads; no handler runs after it has returned. */
    virtual void stop() = 0;

    /**
     * Sets the handler of a type, replacing an earlier one; an empty handler removes it. Waits for running handlers, so
     * that the owner of the previous handler may be destroyed afterwards. Must not be called by a handler.
     */
    virtual void setDatagramHandler(MessageType type, DatagramHandler handler) = 0;
    virtual void setRequestHandler(MessageType type, RequestHandler handler) = 0;

    /** Sends a datagram. Errors: PeerMessageMalformed (too large), PeerUnreachable, PeerUnknownKey. */
    [[nodiscard]] virtual Result<void> send(const PeerAddress &to, MessageType type, std::string payload) = 0;
    /**
     * Sends a request over a new connection, as a reused one may be dead unnoticed, and waits at most `timeout` for the
     * answer. Errors: PeerUnreachable, PeerMessageMalformed, PeerMessageForged, PeerUnknownKey, or the code that the
     * peer's handler returned. PeerUnreachable has the outcome Unknown if the request may have arrived.
     */
    [[nodiscard]] virtual Result<std::string> request(
        const PeerAddress &to, MessageType type, std::string payload, Milliseconds timeout)
        = 0;

    /** Replaces the keys at run time; messages in transit are accepted if the new keys contain theirs. */
    virtual void setKeys(PeerKeys keys) = 0;
    [[nodiscard]] virtual PeerLinkCounters counters() const = 0;
    /** Bound `ip:port`, with the port that the system chose if the settings specify port 0. */
    [[nodiscard]] virtual std::string boundAddress() const = 0;
};

} // namespace magnolia::peerlink
