// Limits of the peer transport.
#pragma once

#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::peerlink
{

struct PeerLinkParameters
{
    /** Maximum datagram size; below the smallest usual path MTU, so that no datagram is fragmented. */
    std::size_t maxDatagramBytes = 1400;
    /** Maximum TCP message size; fits a published configuration with its keys of up to a megabyte each. */
    std::size_t maxMessageBytes = 8U * 1024 * 1024;
    /** TCP requests served concurrently; with maxMessageBytes it bounds the memory for partly received messages. */
    int maxServerThreads = 8;
    /** Accepted connections that wait for a thread; further ones are closed immediately. */
    int maxQueuedConnections = 32;
    /** Timeout for receiving a TCP request, and for sending its answer. */
    Milliseconds serverTimeout{2000};
    /** Maximum difference between a message's sending time and this instance's wall clock; others count as replays. */
    Milliseconds maxMessageAge{15000};
    /** Maximum number of senders whose sequence numbers are tracked. */
    std::size_t maxSenders = 2048;
};

} // namespace magnolia::peerlink
