// Frames over TCP: length (4 bytes, big endian) and that many bytes. Throws Poco exceptions; callers end them.
#pragma once

#include "framework/global/types/time.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::peerlink
{

constexpr std::size_t frameHeaderBytes = 4;

/** Point on the monotonic clock by which a whole frame must have gone through, however slowly its bytes come. */
[[nodiscard]] MonoTime frameDeadline(Milliseconds timeout);

void writeFrame(Poco::Net::StreamSocket &socket, std::string_view bytes, MonoTime deadline);

/** The frame's bytes; empty where it names more than `maxBytes`, ends early or is late. */
[[nodiscard]] std::optional<std::string> readFrame(
    Poco::Net::StreamSocket &socket, std::size_t maxBytes, MonoTime deadline);

} // namespace magnolia::peerlink
