// Counters of the peer transport since its start.
#pragma once

#include <cstdint>

namespace magnolia::peerlink
{

struct PeerLinkCounters
{
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramsReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsServed = 0;
    /** Rejected messages, by reason. */
    std::uint64_t malformed = 0;
    std::uint64_t forged = 0;
    std::uint64_t replayed = 0;
    std::uint64_t unknownKey = 0;
    /** Authenticated messages of a type without a handler. */
    std::uint64_t unhandled = 0;
};

} // namespace magnolia::peerlink
