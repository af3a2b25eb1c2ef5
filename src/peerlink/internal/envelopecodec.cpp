// Sealing and unsealing of envelopes.
#include "peerlink/envelopecodec.h"

#include "peerlink/binarycodec.h"
#include "peerlink/internal/hmac.h"

namespace magnolia::peerlink
{
namespace
{

constexpr char wireVersion = 1;
constexpr std::size_t keyIdOffset = 1;
constexpr std::size_t keyIdBytes = 4;
constexpr std::size_t tagOffset = keyIdOffset + keyIdBytes;
constexpr unsigned bitsOfByte = 8;

std::string encodeKeyId(std::uint32_t keyId)
{
    std::string bytes(keyIdBytes, '\0');
    for (std::size_t i = 0; i < keyIdBytes; ++i) {
        bytes[keyIdBytes - 1 - i] = static_cast<char>((keyId >> (bitsOfByte * i)) & 0xFFU);
    }
    return bytes;
}

std::uint32_t decodeKeyId(std::string_view bytes)
{
    std::uint32_t keyId = 0;
    for (const char byte : bytes) {
        keyId = (keyId << bitsOfByte) | static_cast<unsigned char>(byte);
    }
    return keyId;
}

std::optional<HmacTag> tagOf(const std::string &secret, std::string_view head, std::string_view body)
{
    std::string authenticated;
    authenticated.reserve(head.size() + body.size());
    authenticated.append(head).append(body);
    return hmacSha256(secret, authenticated);
}

} // namespace

Result<std::string> encodeEnvelope(const Envelope &envelope, const PeerKeys &keys)
{
    const auto it = keys.secrets.find(keys.sendKey);
    if (it == keys.secrets.end()) {
        return makeError(ResultCode::PeerUnknownKey, "no secret for the key to send with");
    }
    const std::string head = wireVersion + encodeKeyId(keys.sendKey);
    const std::string body = encode(envelope);
    const auto tag = tagOf(it->second, head, body);
    if (!tag) {
        return makeError(ResultCode::PeerUnknownKey, "the secret to send with is empty or unusable");
    }
    return head + std::string(tag->data(), tag->size()) + body;
}

Result<Envelope> decodeEnvelope(std::string_view bytes, const PeerKeys &keys, std::size_t maxBytes)
{
    if (bytes.size() <= envelopeOverheadBytes || bytes.size() > maxBytes) {
        return makeError(ResultCode::PeerMessageMalformed, "size out of bounds");
    }
    if (bytes.front() != wireVersion) {
        return makeError(ResultCode::PeerMessageMalformed, "unknown version of the wire form");
    }
    const auto it = keys.secrets.find(decodeKeyId(bytes.substr(keyIdOffset, keyIdBytes)));
    if (it == keys.secrets.end()) {
        return makeError(ResultCode::PeerUnknownKey, "no secret for the key of the message");
    }
    const auto tag = tagOf(it->second, bytes.substr(0, tagOffset), bytes.substr(envelopeOverheadBytes));
    if (!tag || !isEqualConstantTime(*tag, bytes.substr(tagOffset, envelopeOverheadBytes - tagOffset))) {
        return makeError(ResultCode::PeerMessageForged, "authentication failed");
    }
    return decode<Envelope>(bytes.substr(envelopeOverheadBytes));
}

} // namespace magnolia::peerlink
