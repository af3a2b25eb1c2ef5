// Sealing, checking and counting of messages.
#include "peerlink/internal/peersession.h"

#include "peerlink/envelopecodec.h"

namespace magnolia::peerlink
{

PeerSession::PeerSession(
    PeerIdentity identity, PeerKeys keys, const PeerLinkParameters &parameters, const IClock &clock)
    : m_identity(std::move(identity))
    , m_parameters(parameters)
    , m_clock(clock)
    , m_keys(std::move(keys))
{
    m_guard.notBefore = clock.wallNow();
}

Result<EncodedMessage> PeerSession::encodeMessage(const MessageHeader &head, std::string payload)
{
    Envelope envelope;
    envelope.type = head.type;
    envelope.sender = m_identity.instance;
    envelope.senderIncarnation = m_identity.incarnation;
    envelope.recipient = head.recipient;
    envelope.inReplyTo = head.inReplyTo;
    envelope.sentAtMs = m_clock.wallNow().time_since_epoch().count();
    envelope.resultCode = static_cast<std::uint16_t>(head.resultCode);
    envelope.payload = std::move(payload);
    PeerKeys keys;
    {
        const std::scoped_lock lock(m_mutex);
        envelope.sequence = ++m_lastSequence;
        keys = m_keys;
    }
    return encodeEnvelope(envelope, keys).map([&](std::string bytes) {
        return EncodedMessage{std::move(bytes), envelope.sequence};
    });
}

Result<Envelope> PeerSession::acceptMessage(std::string_view bytes, std::size_t maxBytes)
{
    Result<Envelope> envelope = checkMessage(bytes, maxBytes);
    if (!envelope) {
        countRefusal(envelope.error().code);
    }
    return envelope;
}

Result<Envelope> PeerSession::checkMessage(std::string_view bytes, std::size_t maxBytes)
{
    Result<Envelope> envelope = decodeEnvelope(bytes, keys(), maxBytes);
    if (!envelope) {
        return envelope;
    }
    if (envelope->recipient != m_identity.instance || envelope->sender == m_identity.instance) {
        return makeError(ResultCode::PeerMessageForged, "the message is for another instance");
    }
    const WallTime now = m_clock.wallNow();
    const std::scoped_lock lock(m_mutex);
    const Result<void> accepted = acceptOnce(m_guard, *envelope, now, m_parameters);
    if (!accepted) {
        return tl::unexpected(accepted.error());
    }
    return envelope;
}

void PeerSession::setKeys(PeerKeys keys)
{
    const std::scoped_lock lock(m_mutex);
    m_keys = std::move(keys);
}

PeerKeys PeerSession::keys() const
{
    const std::scoped_lock lock(m_mutex);
    return m_keys;
}

PeerLinkCounters PeerSession::counters() const
{
    const std::scoped_lock lock(m_mutex);
    return m_counters;
}

void PeerSession::count(const std::function<void(PeerLinkCounters &)> &change)
{
    const std::scoped_lock lock(m_mutex);
    change(m_counters);
}

void PeerSession::countRefusal(ResultCode code)
{
    const std::scoped_lock lock(m_mutex);
    switch (code) {
    case ResultCode::PeerMessageForged:
        ++m_counters.forged;
        break;
    case ResultCode::PeerMessageReplayed:
        ++m_counters.replayed;
        break;
    case ResultCode::PeerUnknownKey:
        ++m_counters.unknownKey;
        break;
    default:
        ++m_counters.malformed;
        break;
    }
}

} // namespace magnolia::peerlink
