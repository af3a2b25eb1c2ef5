// Encodes and decodes structs that have a cereal `serialize`. Decoding never throws and uses bounded memory.
#pragma once

#include "framework/global/error.h"
#include "peerlink/boundedinputarchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <Poco/MemoryStream.h>

#include <exception>
#include <sstream>
#include <string>
#include <string_view>

namespace magnolia::peerlink
{

/** How much the input may differ from the message that the reader knows. */
enum class DecodeRule {
    /** The message takes up all of the input. */
    Exact,
    /** Bytes after the message are ignored; a later version may have added fields. */
    IgnoreRest,
    /** In addition, fields that begin after the end of the input keep their defaults; an earlier version lacks them. */
    KeepDefaults,
};

struct DecodeFailure
{
    /** Whether the input ends before the message does. */
    bool isTruncated = false;
    std::string detail;
};

template <typename T>
[[nodiscard]] std::string encode(const T &value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

/**
 * Decodes a value according to `rule`. Memory is bounded by the size of `bytes` times the size of the largest element
 * type, so callers must limit `bytes` first.
 */
template <typename T>
[[nodiscard]] tl::expected<T, DecodeFailure> decodeBy(DecodeRule rule, std::string_view bytes)
{
    if (bytes.empty() || (bytes.front() != '\0' && bytes.front() != '\1')) {
        return tl::unexpected(
            DecodeFailure{bytes.empty(), "the message does not start with a byte order mark of 0 or 1"});
    }
    T value;
    try {
        Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        BoundedInputArchive archive(stream, bytes.size());
        archive(value);
        if (rule == DecodeRule::Exact && archive.remainingBytes() != 0) {
            return tl::unexpected(DecodeFailure{false, "the input continues after the end of the message"});
        }
    } catch (const EndOfInput &ex) {
        if (rule != DecodeRule::KeepDefaults || !ex.isBetweenFields()) {
            return tl::unexpected(DecodeFailure{true, ex.what()});
        }
    } catch (const std::exception &ex) {
        return tl::unexpected(DecodeFailure{false, ex.what()});
    }
    return value;
}

/** Decodes a value that takes up all of `bytes`, as `decodeBy`. Error: PeerMessageMalformed (6001). */
template <typename T>
[[nodiscard]] Result<T> decode(std::string_view bytes)
{
    return decodeBy<T>(DecodeRule::Exact, bytes).map_error([](const DecodeFailure &it) {
        return Error{ResultCode::PeerMessageMalformed, it.detail};
    });
}

} // namespace magnolia::peerlink
