// Encodes, verifies and counts messages.
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

Result<EncodedMessage> PeerSession::encodeMessage(const MessageHeader &header, std::string payload)
{
    Envelope envelope;
    envelope.type = header.type;
    envelope.sender = m_identity.instance;
    envelope.senderIncarnation = m_identity.incarnation;
    envelope.recipient = header.recipient;
    envelope.inReplyTo = header.inReplyTo;
    envelope.sentAtMs = m_clock.wallNow().time_since_epoch().count();
    envelope.resultCode = static_cast<std::uint16_t>(header.resultCode);
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
        countRejection(envelope.error().code);
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
        return makeError(
            ResultCode::PeerMessageForged, "the message is addressed to another instance or was sent by this one");
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

void PeerSession::updateCounters(const std::function<void(PeerLinkCounters &)> &change)
{
    const std::scoped_lock lock(m_mutex);
    change(m_counters);
}

void PeerSession::countRejection(ResultCode code)
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
