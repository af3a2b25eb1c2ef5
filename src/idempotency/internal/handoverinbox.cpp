// Completeness of received handovers.
#include "idempotency/handoverinbox.h"

#include <algorithm>

namespace magnolia::idempotency
{

namespace
{

constexpr std::size_t maxHandovers = 1024;

} // namespace

HandoverInbox::HandoverInbox(WallTime startedAt, KeyParameters parameters)
    : m_startedAt(startedAt)
    , m_parameters(parameters)
{
}

bool HandoverInbox::note(const HandoverPart &part)
{
    if (part.index >= part.count) {
        return false;
    }
    const HandoverCoverage cover{
        WallTime(Milliseconds(part.completeAfterMs)),
        WallTime(Milliseconds(part.snapshotAtMs)),
    };
    if (!m_received.contains(part.name) && m_received.size() >= maxHandovers) {
        dropOldest();
    }
    Received &received = m_received.try_emplace(part.name, Received{cover, part.count, {}}).first->second;
    const bool agrees = received.count == part.count && received.cover.completeAfter == cover.completeAfter
        && received.cover.snapshotAt == cover.snapshotAt;
    if (agrees) {
        received.indices.insert(part.index);
    }
    return agrees;
}

std::optional<HandoverCoverage> HandoverInbox::cover(
    const InstanceId &sender, std::uint64_t first, std::uint64_t last) const
{
    std::optional<HandoverCoverage> best;
    for (const auto &[name, received] : m_received) {
        const bool isMeant = name.sender == sender && name.lastOwnedRevision >= first && name.lastOwnedRevision <= last;
        if (isMeant && isUsable(received) && (!best || received.cover.completeAfter < best->completeAfter)) {
            best = received.cover;
        }
    }
    return best;
}

bool HandoverInbox::isUsable(const Received &received) const
{
    const Safeguards &safeguards = m_parameters.safeguards;
    // An earlier incarnation of this instance may have acted on a handover taken before this process began.
    const bool isFresh = received.cover.snapshotAt > m_startedAt + m_parameters.maxClockSkew;
    const bool isWhole = received.indices.size() == received.count;
    return (isFresh || !safeguards.requiresHandoverAfterStart) && (isWhole || !safeguards.requiresCompleteHandover);
}

void HandoverInbox::dropOldest()
{
    const auto oldest = std::min_element(m_received.begin(), m_received.end(), [](const auto &a, const auto &b) {
        return a.second.cover.snapshotAt < b.second.cover.snapshotAt;
    });
    m_received.erase(oldest);
}

} // namespace magnolia::idempotency
