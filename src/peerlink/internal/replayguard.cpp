// Checks the age of messages and their sequence numbers against a sliding window.
#include "peerlink/replayguard.h"

#include <algorithm>

namespace magnolia::peerlink
{
namespace
{

std::int64_t milliseconds(WallTime time)
{
    return time.time_since_epoch().count();
}

bool isFresh(std::int64_t sentAtMs, WallTime now, Milliseconds maxAge)
{
    // Compares without subtraction, which could overflow: a message may contain any number as its sending time.
    return sentAtMs >= milliseconds(now - maxAge) && sentAtMs <= milliseconds(now + maxAge);
}

bool isSeen(const ReplayWindow &window, std::uint64_t sequence)
{
    if (sequence > window.highest) {
        return false;
    }
    return window.highest - sequence >= ReplayWindow::size || window.seen.test(sequence % ReplayWindow::size);
}

void markSeen(ReplayWindow &window, std::uint64_t sequence)
{
    if (sequence > window.highest) {
        if (sequence - window.highest >= ReplayWindow::size) {
            window.seen.reset();
        } else {
            for (std::uint64_t it = window.highest + 1; it < sequence; ++it) {
                window.seen.reset(it % ReplayWindow::size);
            }
        }
        window.highest = sequence;
    }
    window.seen.set(sequence % ReplayWindow::size);
}

// Only old windows are removed: a sending time ahead of a clock that was set back still protects its window.
bool isRemovable(const ReplayWindow &window, WallTime now, Milliseconds maxAge)
{
    return window.latestSentAtMs < milliseconds(now - maxAge);
}

void removeOldSenders(ReplayGuard &guard, WallTime now, Milliseconds maxAge)
{
    std::erase_if(guard.senders, [&](const auto &entry) {
        return isRemovable(entry.second, now, maxAge);
    });
}

} // namespace

Result<void> acceptOnce(
    ReplayGuard &guard, const Envelope &envelope, WallTime now, const PeerLinkParameters &parameters)
{
    if (!isFresh(envelope.sentAtMs, now, parameters.maxMessageAge)) {
        return makeError(
            ResultCode::PeerMessageReplayed, "the message is too old, or the clocks of the instances differ too much");
    }
    if (envelope.sentAtMs < milliseconds(guard.notBefore)) {
        return makeError(ResultCode::PeerMessageReplayed, "the message was sent before this instance started");
    }
    auto it = guard.senders.find(envelope.sender);
    if (it != guard.senders.end() && isRemovable(it->second, now, parameters.maxMessageAge)) {
        guard.senders.erase(it);
        it = guard.senders.end();
    }
    if (it == guard.senders.end()) {
        if (guard.senders.size() >= parameters.maxSenders) {
            removeOldSenders(guard, now, parameters.maxMessageAge);
        }
        if (guard.senders.size() >= parameters.maxSenders) {
            return makeError(ResultCode::PeerMessageReplayed, "the maximum number of tracked senders is reached");
        }
        it = guard.senders.emplace(envelope.sender, ReplayWindow{}).first;
        it->second.incarnation = envelope.senderIncarnation;
    }
    ReplayWindow &window = it->second;
    if (envelope.senderIncarnation < window.incarnation) {
        return makeError(ResultCode::PeerMessageReplayed, "the message is from an earlier incarnation of its sender");
    }
    if (envelope.senderIncarnation > window.incarnation) {
        window = ReplayWindow{};
        window.incarnation = envelope.senderIncarnation;
    } else if (isSeen(window, envelope.sequence)) {
        return makeError(ResultCode::PeerMessageReplayed, "the sequence number was seen before or is too old");
    }
    markSeen(window, envelope.sequence);
    window.latestSentAtMs = std::max(window.latestSentAtMs, envelope.sentAtMs);
    return {};
}

} // namespace magnolia::peerlink
