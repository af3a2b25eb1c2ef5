// Encodes sent messages and verifies received ones, and holds the keys, the replay guard and the counters.
#pragma once

#include "framework/global/error.h"
#include "framework/global/iclock.h"
#include "peerlink/peertransport.h"
#include "peerlink/replayguard.h"
#include "peerlink/types/envelope.h"
#include "peerlink/types/peerkeys.h"
#include "peerlink/types/peerlinkcounters.h"
#include "peerlink/types/peerlinkparameters.h"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace magnolia::peerlink
{

/** An encoded message, and the sequence number that its answer must contain. */
struct EncodedMessage
{
    std::string bytes;
    std::uint64_t sequence = 0;
};

/** The fields of a message that the sender chooses besides its payload. */
struct MessageHeader
{
    InstanceId recipient;
    MessageType type = MessageType::Membership;
    std::uint64_t inReplyTo = 0;
    ResultCode resultCode = ResultCode::Ok;
};

/** Thread-safe. */
class PeerSession
{
public:
    PeerSession(PeerIdentity identity, PeerKeys keys, const PeerLinkParameters &parameters, const IClock &clock);

    [[nodiscard]] Result<EncodedMessage> encodeMessage(const MessageHeader &header, std::string payload);
    /** Returns the envelope if it is authentic, addressed to this instance and not a replay. */
    [[nodiscard]] Result<Envelope> acceptMessage(std::string_view bytes, std::size_t maxBytes);

    void setKeys(PeerKeys keys);
    [[nodiscard]] PeerLinkCounters counters() const;
    void updateCounters(const std::function<void(PeerLinkCounters &)> &change);

private:
    [[nodiscard]] Result<Envelope> checkMessage(std::string_view bytes, std::size_t maxBytes);
    [[nodiscard]] PeerKeys keys() const;
    void countRejection(ResultCode code);

    const PeerIdentity m_identity;
    const PeerLinkParameters m_parameters;
    const IClock &m_clock;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex, as are all members below.
    PeerKeys m_keys;
    ReplayGuard m_guard;
    PeerLinkCounters m_counters;
    // Invariant: the last sequence number used; no two messages of this incarnation have the same.
    std::uint64_t m_lastSequence = 0;
};

} // namespace magnolia::peerlink
