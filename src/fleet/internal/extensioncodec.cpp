// Implements the codec of extension messages.
#include "fleet/extensioncodec.h"

#include <cereal/types/string.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace magnolia::fleet
{

namespace
{

/** Bytes of a record besides its own: tag and size. */
constexpr std::size_t recordOverhead = sizeof(std::uint32_t) + sizeof(std::uint64_t);
/** Bytes of a message without records and without the name of the instance: byte order mark, format and fixed fields.
 */
constexpr std::size_t messageOverhead = 2 + 5 * sizeof(std::uint64_t) + 2 * sizeof(std::uint16_t);

} // namespace

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::UnknownVersion:
        return "unknown_version";
    case RejectReason::Truncated:
        return "truncated";
    case RejectReason::Oversized:
        return "oversized";
    case RejectReason::Malformed:
        return "malformed";
    case RejectReason::NotFinite:
        return "not_finite";
    case RejectReason::Snapshot:
        return "snapshot";
    case RejectReason::Failed:
        return "failed";
    }
    return "failed";
}

std::string encodeExtension(const ExtensionMessage &message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(ExtensionMessage::currentFormat, message.instance, message.incarnation, message.sequence,
        message.minVersion, message.maxVersion, message.capabilities,
        cereal::make_size_tag(static_cast<cereal::size_type>(message.records.size())));
    for (const ExtensionRecord &it : message.records) {
        archive(it.tag, it.bytes);
    }
    return std::move(stream).str();
}

tl::expected<ExtensionMessage, RejectReason> decodeExtension(std::string_view bytes)
{
    if (bytes.size() > ExtensionMessage::maxBytes) {
        return tl::unexpected(RejectReason::Oversized);
    }
    if (bytes.size() < 2) {
        return tl::unexpected(RejectReason::Truncated);
    }
    if (bytes.front() != '\0' && bytes.front() != '\1') {
        return tl::unexpected(RejectReason::Malformed);
    }
    if (static_cast<std::uint8_t>(bytes[1]) != ExtensionMessage::currentFormat) {
        return tl::unexpected(RejectReason::UnknownVersion);
    }
    try {
        Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        peerlink::BoundedInputArchive archive(stream, bytes.size());
        ExtensionMessage message;
        std::uint8_t format = 0;
        archive(format, message.instance, message.incarnation, message.sequence, message.minVersion, message.maxVersion,
            message.capabilities);
        if (message.minVersion > message.maxVersion) {
            return tl::unexpected(RejectReason::Malformed);
        }
        if (message.minVersion > ExtensionMessage::ownMaxVersion
            || message.maxVersion < ExtensionMessage::ownMinVersion) {
            return tl::unexpected(RejectReason::UnknownVersion);
        }
        cereal::size_type count = 0;
        archive(count);
        if (count > ExtensionMessage::maxRecords) {
            return tl::unexpected(RejectReason::Oversized);
        }
        message.records.resize(count);
        for (ExtensionRecord &it : message.records) {
            archive(it.tag, it.bytes);
        }
        return message;
    } catch (const peerlink::EndOfInput &) {
        return tl::unexpected(RejectReason::Truncated);
    } catch (const std::exception &) {
        return tl::unexpected(RejectReason::Malformed);
    }
}

std::size_t maxRecordBytes(const std::string &instance)
{
    const std::size_t used = messageOverhead + instance.size() + recordOverhead;
    return ExtensionMessage::maxBytes - std::min(ExtensionMessage::maxBytes, used);
}

std::vector<ExtensionMessage> splitIntoMessages(
    const ExtensionMessage &header, const std::vector<ExtensionRecord> &records)
{
    ExtensionMessage empty = header;
    empty.records.clear();
    const std::size_t emptyBytes = messageOverhead + header.instance.size();
    std::vector<ExtensionMessage> messages{empty};
    std::size_t bytes = emptyBytes;
    for (const ExtensionRecord &it : records) {
        if (it.bytes.size() > maxRecordBytes(header.instance)) {
            continue;
        }
        const std::size_t added = recordOverhead + it.bytes.size();
        if (messages.back().records.size() == ExtensionMessage::maxRecords
            || bytes + added > ExtensionMessage::maxBytes) {
            messages.push_back(empty);
            bytes = emptyBytes;
        }
        messages.back().records.push_back(it);
        bytes += added;
    }
    return messages;
}

} // namespace magnolia::fleet
