// Rejects replayed messages, messages that are too old, and those of an earlier incarnation of their sender.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "peerlink/types/envelope.h"
#include "peerlink/types/peerlinkparameters.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace magnolia::peerlink
{

/** Sliding window over the sequence numbers of one incarnation of a sender, as in RFC 4303, section 3.4.3. */
struct ReplayWindow
{
    static constexpr std::uint64_t size = 1024;

    Incarnation incarnation;
    // Invariant: bit (sequence % size) represents a sequence number in (highest - size, highest].
    std::uint64_t highest = 0;
    std::bitset<size> seen;
    /** Latest sending time of an accepted message, by the sender's wall clock. */
    std::int64_t latestSentAtMs = 0;
};

struct ReplayGuard
{
    /** Start of this instance; its previous incarnation may have accepted messages sent earlier. */
    WallTime notBefore{};
    // Invariant: never more senders than PeerLinkParameters::maxSenders.
    std::unordered_map<InstanceId, ReplayWindow> senders;
};

/**
 * Accepts an authenticated message at most once. A rejected message leaves the windows of live senders unchanged.
 * A sender's window is dropped when its latest message is too old to be accepted again. Its incarnation may then be
 * lower, as after a restart with its wall clock set back. Error: PeerMessageReplayed (6003).
 */
[[nodiscard]] Result<void> acceptOnce(
    ReplayGuard &guard, const Envelope &envelope, WallTime now, const PeerLinkParameters &parameters);

} // namespace magnolia::peerlink
