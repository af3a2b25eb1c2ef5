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

template <typename T>
[[nodiscard]] std::string encode(const T &value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

/**
 * Decodes a value that takes up all of `bytes`. Memory is bounded by the size of `bytes` times the size of the largest
 * element type, so callers must limit `bytes` first. Error: PeerMessageMalformed (6001).
 */
template <typename T>
[[nodiscard]] Result<T> decode(std::string_view bytes)
{
    if (bytes.empty() || (bytes.front() != '\0' && bytes.front() != '\1')) {
        return makeError(
            ResultCode::PeerMessageMalformed, "the message does not start with a byte order mark of 0 or 1");
    }
    try {
        Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        BoundedInputArchive archive(stream, bytes.size());
        T value;
        archive(value);
        if (archive.remainingBytes() != 0) {
            return makeError(ResultCode::PeerMessageMalformed, "the input continues after the end of the message");
        }
        return value;
    } catch (const std::exception &ex) {
        return makeError(ResultCode::PeerMessageMalformed, ex.what());
    }
}

} // namespace magnolia::peerlink
