// Reads and writes frames with one deadline for the whole frame.
#include "peerlink/internal/tcpframes.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace magnolia::peerlink
{
namespace
{

// Limits each allocation, so that memory grows with the received bytes, not with the length that the sender claims.
constexpr std::size_t readChunkBytes = 64U * 1024;
constexpr unsigned bitsPerByte = 8;

Poco::Timespan remainingTime(MonoTime deadline)
{
    const auto left = std::chrono::duration_cast<Microseconds>(deadline - std::chrono::steady_clock::now());
    if (left <= Microseconds(0)) {
        throw Poco::TimeoutException("the frame was not transferred before its deadline");
    }
    return Poco::Timespan(left.count());
}

bool readExactly(Poco::Net::StreamSocket &socket, std::string &into, std::size_t size, MonoTime deadline)
{
    std::string chunk(std::min(size, readChunkBytes), '\0');
    std::size_t missing = size;
    while (missing > 0) {
        socket.setReceiveTimeout(remainingTime(deadline));
        const int n = socket.receiveBytes(chunk.data(), static_cast<int>(std::min(missing, chunk.size())));
        if (n <= 0) {
            return false;
        }
        into.append(chunk, 0, static_cast<std::size_t>(n));
        missing -= static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace

MonoTime frameDeadline(Milliseconds timeout)
{
    return std::chrono::steady_clock::now() + timeout;
}

void writeFrame(Poco::Net::StreamSocket &socket, std::string_view bytes, MonoTime deadline)
{
    std::string frame;
    frame.reserve(frameHeaderBytes + bytes.size());
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        frame.push_back(static_cast<char>((bytes.size() >> (bitsPerByte * (frameHeaderBytes - 1 - i))) & 0xFFU));
    }
    frame.append(bytes);
    std::size_t bytesSent = 0;
    while (bytesSent < frame.size()) {
        socket.setSendTimeout(remainingTime(deadline));
        const int n = socket.sendBytes(frame.data() + bytesSent, static_cast<int>(frame.size() - bytesSent));
        if (n <= 0) {
            throw Poco::TimeoutException("the peer accepts no more bytes");
        }
        bytesSent += static_cast<std::size_t>(n);
    }
}

std::optional<std::string> readFrame(Poco::Net::StreamSocket &socket, std::size_t maxBytes, MonoTime deadline)
{
    std::string header;
    if (!readExactly(socket, header, frameHeaderBytes, deadline)) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (const char byte : header) {
        size = (size << bitsPerByte) | static_cast<unsigned char>(byte);
    }
    std::string body;
    if (size == 0 || size > maxBytes || !readExactly(socket, body, size, deadline)) {
        return std::nullopt;
    }
    return body;
}

} // namespace magnolia::peerlink
