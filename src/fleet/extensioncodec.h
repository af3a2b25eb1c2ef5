// Encodes and decodes extension messages and the records in them.
#pragma once

#include "fleet/types/extensionmessage.h"
#include "fleet/types/rejectreason.h"
#include "peerlink/binarycodec.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::fleet
{

[[nodiscard]] std::string encodeExtension(const ExtensionMessage &message);

/**
 * Decodes an extension message. Bytes after the fields that this build knows are ignored. Errors: UnknownVersion for
 * another format, or a sender whose versions do not overlap with those of this build; Truncated; Oversized for more
 * than `ExtensionMessage::maxBytes` or `maxRecords`; Malformed.
 */
[[nodiscard]] tl::expected<ExtensionMessage, RejectReason> decodeExtension(std::string_view bytes);

/** Returns the largest number of bytes that a record may have in a message of `instance`. */
[[nodiscard]] std::size_t maxRecordBytes(const std::string &instance);

/**
 * Distributes records over as few messages as keep the bounds of a message, in their order; at least one message. The
 * messages have the fields of `header`. Records with more than `maxRecordBytes` are left out.
 */
[[nodiscard]] std::vector<ExtensionMessage> splitIntoMessages(
    const ExtensionMessage &header, const std::vector<ExtensionRecord> &records);

/** Returns a record with the serialised fields of `value`, a struct with a cereal `serialize`. */
template <typename T>
[[nodiscard]] ExtensionRecord encodeRecord(std::uint32_t tag, const T &value)
{
    return {tag, peerlink::encode(value)};
}

/**
 * Decodes the fields of a record. Bytes after the fields that this build knows are ignored, and fields that the record
 * lacks at its end keep their defaults, so that later builds may append fields to `T`. `T` has no lists, since a record
 * that ends within a list would be taken for one of an earlier build. Error: PeerMessageMalformed (6001).
 */
template <typename T>
[[nodiscard]] Result<T> decodeRecord(const ExtensionRecord &record)
{
    return peerlink::decodeBy<T>(peerlink::DecodeRule::KeepDefaults, record.bytes)
        .map_error([](const peerlink::DecodeFailure &it) {
            return Error{ResultCode::PeerMessageMalformed, it.detail};
        });
}

} // namespace magnolia::fleet
