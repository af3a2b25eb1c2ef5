// Encoding of plain structs with a cereal `serialize`, and decoding that no input can make throw or grow absurdly.
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
 * The value that `bytes` holds, all of them. Memory stays within the size of `bytes` times the size of the largest
 * element type, so callers bound `bytes` first. Error: PeerMessageMalformed (6001).
 */
template <typename T>
[[nodiscard]] Result<T> decode(std::string_view bytes)
{
    if (bytes.empty() || (bytes.front() != '\0' && bytes.front() != '\1')) {
        return makeError(ResultCode::PeerMessageMalformed, "no byte order mark");
    }
    try {
        Poco::MemoryInputStream stream(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        BoundedInputArchive archive(stream, bytes.size());
        T value;
        archive(value);
        if (archive.remainingBytes() != 0) {
            return makeError(ResultCode::PeerMessageMalformed, "bytes left over after the message");
        }
        return value;
    } catch (const std::exception &ex) {
        return makeError(ResultCode::PeerMessageMalformed, ex.what());
    }
}

} // namespace magnolia::peerlink
