// Encodes, authenticates and decodes envelopes.
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
constexpr unsigned bitsPerByte = 8;

std::string encodeKeyId(std::uint32_t keyId)
{
    std::string bytes(keyIdBytes, '\0');
    for (std::size_t i = 0; i < keyIdBytes; ++i) {
        bytes[keyIdBytes - 1 - i] = static_cast<char>((keyId >> (bitsPerByte * i)) & 0xFFU);
    }
    return bytes;
}

std::uint32_t decodeKeyId(std::string_view bytes)
{
    std::uint32_t keyId = 0;
    for (const char byte : bytes) {
        keyId = (keyId << bitsPerByte) | static_cast<unsigned char>(byte);
    }
    return keyId;
}

std::optional<HmacTag> computeTag(const std::string &secret, std::string_view header, std::string_view body)
{
    std::string authenticated;
    authenticated.reserve(header.size() + body.size());
    authenticated.append(header).append(body);
    return hmacSha256(secret, authenticated);
}

} // namespace

Result<std::string> encodeEnvelope(const Envelope &envelope, const PeerKeys &keys)
{
    const auto it = keys.secrets.find(keys.sendKey);
    if (it == keys.secrets.end()) {
        return makeError(ResultCode::PeerUnknownKey, "peer keys contain no secret for the send key");
    }
    const std::string header = wireVersion + encodeKeyId(keys.sendKey);
    const std::string body = encode(envelope);
    const auto tag = computeTag(it->second, header, body);
    if (!tag) {
        return makeError(ResultCode::PeerUnknownKey, "the secret of the send key is empty or unusable");
    }
    return header + std::string(tag->data(), tag->size()) + body;
}

Result<Envelope> decodeEnvelope(std::string_view bytes, const PeerKeys &keys, std::size_t maxBytes)
{
    if (bytes.size() <= envelopeOverheadBytes || bytes.size() > maxBytes) {
        return makeError(ResultCode::PeerMessageMalformed, "the message size is out of bounds");
    }
    if (bytes.front() != wireVersion) {
        return makeError(ResultCode::PeerMessageMalformed, "unknown version of the wire format");
    }
    const auto it = keys.secrets.find(decodeKeyId(bytes.substr(keyIdOffset, keyIdBytes)));
    if (it == keys.secrets.end()) {
        return makeError(ResultCode::PeerUnknownKey, "peer keys contain no secret for the key id of the message");
    }
    const auto tag = computeTag(it->second, bytes.substr(0, tagOffset), bytes.substr(envelopeOverheadBytes));
    if (!tag || !isEqualConstantTime(*tag, bytes.substr(tagOffset, envelopeOverheadBytes - tagOffset))) {
        return makeError(ResultCode::PeerMessageForged, "the authentication tag of the message does not match");
    }
    return decode<Envelope>(bytes.substr(envelopeOverheadBytes));
}

} // namespace magnolia::peerlink
