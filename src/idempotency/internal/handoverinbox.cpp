// Tracks which parts of each handover have arrived.
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

bool HandoverInbox::recordPart(const HandoverPart &part)
{
    if (part.index >= part.count) {
        return false;
    }
    const HandoverCoverage coverage{
        WallTime(Milliseconds(part.completeAfterMs)),
        WallTime(Milliseconds(part.snapshotAtMs)),
    };
    if (!m_received.contains(part.name) && m_received.size() >= maxHandovers) {
        evictOldest();
    }
    Received &received = m_received.try_emplace(part.name, Received{coverage, part.count, {}}).first->second;
    const bool isConsistent = received.count == part.count && received.coverage.completeAfter == coverage.completeAfter
        && received.coverage.snapshotAt == coverage.snapshotAt;
    if (isConsistent) {
        received.indices.insert(part.index);
    }
    return isConsistent;
}

std::optional<HandoverCoverage> HandoverInbox::findCoverage(
    const InstanceId &sender, std::uint64_t first, std::uint64_t last) const
{
    std::optional<HandoverCoverage> best;
    for (const auto &[name, received] : m_received) {
        const bool isMatching
            = name.sender == sender && name.lastOwnedRevision >= first && name.lastOwnedRevision <= last;
        if (isMatching && isUsable(received) && (!best || received.coverage.completeAfter < best->completeAfter)) {
            best = received.coverage;
        }
    }
    return best;
}

bool HandoverInbox::isUsable(const Received &received) const
{
    const Safeguards &safeguards = m_parameters.safeguards;
    // An earlier incarnation of this instance may have acted on a handover copied before this process started.
    const bool isFresh = received.coverage.snapshotAt > m_startedAt + m_parameters.maxClockSkew;
    const bool isComplete = received.indices.size() == received.count;
    return (isFresh || !safeguards.requiresHandoverAfterStart) && (isComplete || !safeguards.requiresCompleteHandover);
}

void HandoverInbox::evictOldest()
{
    const auto oldest = std::min_element(m_received.begin(), m_received.end(), [](const auto &a, const auto &b) {
        return a.second.coverage.snapshotAt < b.second.coverage.snapshotAt;
    });
    m_received.erase(oldest);
}

} // namespace magnolia::idempotency
