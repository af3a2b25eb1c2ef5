// Wire format of an envelope: version (1 byte), key id (4 bytes, big endian), HMAC-SHA-256 (32 bytes) over all other
// bytes, and the envelope in cereal's portable binary format.
#pragma once

#include "framework/global/error.h"
#include "peerlink/types/envelope.h"
#include "peerlink/types/peerkeys.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::peerlink
{

/** Size of the fields before the encoded envelope. */
constexpr std::size_t envelopeOverheadBytes = 1 + 4 + 32;

/** Encodes and authenticates `envelope`. Error: PeerUnknownKey (6005) if the send key has no usable secret. */
[[nodiscard]] Result<std::string> encodeEnvelope(const Envelope &envelope, const PeerKeys &keys);

/**
 * Checks size, version, key and authentication in this order, and only then decodes.
 * Errors: PeerMessageMalformed (6001), PeerMessageForged (6002), PeerUnknownKey (6005).
 */
[[nodiscard]] Result<Envelope> decodeEnvelope(std::string_view bytes, const PeerKeys &keys, std::size_t maxBytes);

} // namespace magnolia::peerlink
