// Compact form of an incremental PeerMessage, for peers that can read it.
//
// Each placement costs three increments to every peer of the cell. In the base format most of an increment is empty
// fields, sizes of eight bytes and the name of its sender; the compact form sends a hash of the name, integers in as
// many bytes as they need, and no fields that an increment leaves out.
#pragma once

#include "fleet/types/peermessage.h"
#include "framework/global/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::fleet
{

/** Format of the datagram, at the same position as in a PeerMessage; builds that do not know it ignore the datagram. */
inline constexpr std::uint8_t compactIncrementFormat = 141;

struct CompactIncrement
{
    /** Stable hash of the name of the sender; the receiver knows the name from the sender's full-state messages. */
    std::uint64_t senderHash = 0;
    /** Without the name of the sender. */
    PeerMessage message;
};

/**
 * Returns the compact form, or nothing if the message has content for which it has no place: a full state, or any
 * list but placements, first events and ends.
 */
[[nodiscard]] std::optional<std::string> encodeCompactIncrement(const PeerMessage &message);

/** Decodes a datagram of at most 60 KB. Error: PeerMessageMalformed (6001). */
[[nodiscard]] Result<CompactIncrement> decodeCompactIncrement(std::string_view bytes);

} // namespace magnolia::fleet
