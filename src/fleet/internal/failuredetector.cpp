// Implements the detection of dead peers.
#include "fleet/failuredetector.h"

#include <algorithm>
#include <utility>

namespace magnolia::fleet
{

FailureDetector::FailureDetector(
    std::string self, std::uint64_t incarnation, PeerAddress ownAddress, FailureDetectorParameters parameters)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_ownAddress(std::move(ownAddress))
    , m_parameters(parameters)
{
}

std::vector<FailureDetector::Outgoing> FailureDetector::tick(const PeerTable &table, MonoTime now, Random &random)
{
    std::erase_if(m_suspicions, [&](const KnownFailure &it) {
        return now - it.failedAt > m_parameters.spreadTime;
    });
    std::vector<Outgoing> outgoing;
    const auto sendPing = [&](PendingPing &ping) {
        ping.sentAt = now;
        ++ping.tries;
        outgoing.push_back({ping.address, makeMessage(now, random)});
    };
    // Where one peer is dead, others may be as well, so each missing ack leads to a further ping.
    std::size_t newPings = 1;
    for (PendingPing &it : m_pendingPings) {
        if (now - it.sentAt < m_parameters.ackTimeout) {
            continue;
        }
        newPings = std::min(newPings + 1, m_parameters.maxPingsPerTick);
        if (it.tries < m_parameters.maxTries) {
            sendPing(it);
        } else {
            m_unconfirmed.push_back({it.instance, it.incarnation, now});
        }
    }
    std::erase_if(m_pendingPings, [&](const PendingPing &it) {
        return now - it.sentAt >= m_parameters.ackTimeout;
    });
    if (m_unconfirmed.size() > m_parameters.maxFailuresInSequence) {
        m_unconfirmed.clear();
    }
    std::vector<const Peer *> live;
    for (const auto &entry : table.peers()) {
        const Peer &peer = entry.second;
        const bool isPinged = std::any_of(m_pendingPings.begin(), m_pendingPings.end(), [&](const PendingPing &it) {
            return it.instance == peer.instance;
        });
        if (!isPinged && !table.isSilent(peer, now)) {
            live.push_back(&peer);
        }
    }
    for (std::size_t i = 0; i < newPings && !live.empty(); ++i) {
        const std::size_t n = random.below(live.size());
        const Peer &chosen = *live[n];
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(n));
        m_pendingPings.push_back({chosen.instance, chosen.incarnation, chosen.address, {}, 0});
        sendPing(m_pendingPings.back());
    }
    return outgoing;
}

std::optional<FailureDetector::Outgoing> FailureDetector::onMessage(
    const ProbeMessage &message, PeerTable &table, MonoTime now, Random &random)
{
    const auto sender = table.peers().find(message.instance);
    const bool wasSuspected = sender != table.peers().end() && sender->second.isSuspected;
    table.recordProbe(message, now);
    for (const Suspicion &it : message.suspicions) {
        if (it.instance == m_self) {
            m_isSuspected = m_isSuspected || it.incarnation == m_incarnation;
        } else {
            suspect({it.instance, it.incarnation, now - Milliseconds(it.ageMs)}, table);
        }
    }
    if (!message.isAck) {
        Outgoing ack{message.address, makeMessage(now, random)};
        ack.message.isAck = true;
        if (wasSuspected) {
            // Lets the sender refute the suspicion where it is no longer passed on.
            ack.message.suspicions.push_back({message.instance, message.incarnation, 0});
        }
        return ack;
    }
    const std::size_t acknowledged = std::erase_if(m_pendingPings, [&](const PendingPing &it) {
        return it.instance == message.instance && it.incarnation == message.incarnation;
    });
    if (acknowledged > 0) {
        for (const KnownFailure &it : std::exchange(m_unconfirmed, {})) {
            suspect(it, table);
        }
    }
    return std::nullopt;
}

void FailureDetector::suspect(const KnownFailure &failure, PeerTable &table)
{
    if (table.suspect(failure.instance, failure.incarnation, failure.failedAt)) {
        m_suspicions.push_back(failure);
    }
}

void FailureDetector::setPublishedState(
    std::uint64_t configurationVersion, const published::StorePosition &storePosition, MonoTime storeConfirmedAt)
{
    m_configurationVersion = configurationVersion;
    m_storePosition = storePosition;
    m_storeConfirmedAt = storeConfirmedAt;
}

ProbeMessage FailureDetector::makeAnnouncement(MonoTime now, Random &random) const
{
    ProbeMessage message = makeMessage(now, random);
    message.isAck = true;
    return message;
}

bool FailureDetector::takeIsSuspected()
{
    return std::exchange(m_isSuspected, false);
}

Milliseconds FailureDetector::probeInterval() const
{
    return m_parameters.probeInterval;
}

ProbeMessage FailureDetector::makeMessage(MonoTime now, Random &random) const
{
    ProbeMessage message;
    message.instance = m_self;
    message.incarnation = m_incarnation;
    message.address = m_ownAddress;
    message.configurationVersion = m_configurationVersion;
    message.storePosition = m_storePosition;
    if (m_storeConfirmedAt != MonoTime{}) {
        message.storeAgeMs
            = static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(now - m_storeConfirmedAt).count()));
    }
    // After the loss of many instances each message carries some of the suspicions, from a random one on.
    const std::size_t first = random.below(m_suspicions.size());
    for (std::size_t i = 0; i < std::min(m_suspicions.size(), m_parameters.maxSuspicionsPerMessage); ++i) {
        const KnownFailure &it = m_suspicions[(first + i) % m_suspicions.size()];
        const std::int64_t age = toMilliseconds(now - it.failedAt).count();
        message.suspicions.push_back(
            {it.instance, it.incarnation, static_cast<std::uint32_t>(std::max<std::int64_t>(0, age))});
    }
    return message;
}

} // namespace magnolia::fleet
