// Frames over TCP: length (4 bytes, big endian) and that many bytes. Throws Poco exceptions, which callers must catch.
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

/** Deadline on the monotonic clock for the transfer of a whole frame, whatever the pace of its bytes. */
[[nodiscard]] MonoTime frameDeadline(Milliseconds timeout);

void writeFrame(Poco::Net::StreamSocket &socket, std::string_view bytes, MonoTime deadline);

/** Returns the body of a frame; empty if its length is zero or above `maxBytes`, or if the connection ends early. */
[[nodiscard]] std::optional<std::string> readFrame(
    Poco::Net::StreamSocket &socket, std::size_t maxBytes, MonoTime deadline);

} // namespace magnolia::peerlink
