// Checks of the fleet: no revision missed by a catch-up, and changes applied in time.
#include "configuration/tests/configurationfleet.h"

#include <algorithm>

namespace magnolia::testing
{

using namespace magnolia::configuration;

namespace
{

/**
 * A revision that the service held for at least this time must have been observed: an instance that is cut off from all
 * its peers needs 2 s to detect this, up to 1 s until its first call, and 1 s for the call.
 */
constexpr Milliseconds minVisibleTime{4'000};
/** The propagation limit applies only if an instance has been able to reach the service for at least this time. */
constexpr Milliseconds settleTime{5'000};
} // namespace

void ConfigurationFleet::checkSettled()
{
    for (auto &[id, node] : m_nodes) {
        if (!isReady(*node.state) || currentRevision(*node.state) != m_lastValidRevision) {
            addViolation(id + " ended with revision " + std::to_string(currentRevision(*node.state).count())
                + " instead of " + std::to_string(m_lastValidRevision.count()));
        }
    }
}

bool ConfigurationFleet::isAppliedEverywhere(Revision revision) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [revision](const auto &entry) {
        return currentRevision(*entry.second.state) >= revision;
    });
}

void ConfigurationFleet::recordCatchUpStart(FleetNode &node)
{
    node.wasReady = false;
    node.catchUpStartedAt = m_schedule.now();
    node.peerRevisions.clear();
    for (const auto &[id, peer] : m_nodes) {
        const bool isUsable = peer.isUp && !peer.isPaused && &peer != &node && isReady(*peer.state);
        if (isUsable && !node.unreachableSince.contains(id)) {
            node.peerRevisions[id] = currentRevision(*peer.state);
        }
    }
}

void ConfigurationFleet::checkReady(FleetNode &node)
{
    const bool isNowReady = isReady(*node.state);
    if (!isNowReady || node.wasReady) {
        node.wasReady = isNowReady;
        return;
    }
    node.wasReady = true;
    for (const auto &[id, revision] : node.peerRevisions) {
        const FleetNode &peer = m_nodes[id];
        const bool isStillReachable
            = peer.disruptedAt < node.catchUpStartedAt && isLinkedSince(node, peer, node.catchUpStartedAt);
        if (isStillReachable && currentRevision(*node.state) < revision) {
            addViolation(node.self.id.value() + " became ready with revision "
                + std::to_string(currentRevision(*node.state).count()) + " while " + id + " had "
                + std::to_string(revision.count()));
        }
    }
}

void ConfigurationFleet::checkPropagated(const Publication &publication)
{
    if (!wasObservable(publication)) {
        return;
    }
    for (auto &[id, node] : m_nodes) {
        const bool isDue = node.isUp && !node.isPaused && node.disruptedAt <= publication.at;
        if (isDue && currentRevision(*node.state) < publication.revision && mustBePropagatedTo(node, publication.at)) {
            addViolation(id + " has revision " + std::to_string(currentRevision(*node.state).count()) + " 5 s after "
                + std::to_string(publication.revision.count()) + " was published");
        }
    }
}

// The service keeps only the latest revision, so a valid one that is soon replaced by an invalid one may go unobserved.
bool ConfigurationFleet::wasObservable(const Publication &publication) const
{
    bool isFollowedByInvalid = false;
    for (std::size_t i = publication.revision.count() - 1; i < m_publications.size(); ++i) {
        const Publication &later = m_publications[i];
        const MonoTime replacedAt = i + 1 < m_publications.size() ? m_publications[i + 1].at : m_schedule.now();
        isFollowedByInvalid = isFollowedByInvalid || !later.isValid;
        const bool isInTime = later.at + minVisibleTime <= publication.at + propagationLimit;
        if (later.isValid && isInTime && replacedAt - later.at >= minVisibleTime) {
            return true;
        }
    }
    return !isFollowedByInvalid;
}

bool ConfigurationFleet::mustBePropagatedTo(FleetNode &node, MonoTime publishedAt)
{
    const MonoTime since = publishedAt - settleTime;
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](auto &entry) {
        return canWatch(entry.second, since) && isLinkedSince(node, entry.second, since);
    });
}

bool ConfigurationFleet::canWatch(FleetNode &node, MonoTime since)
{
    const bool isStable = node.isUp && !node.isPaused && node.disruptedAt <= since;
    if (!isStable || node.isCutFromService || node.serviceAccessChangedAt > since) {
        return false;
    }
    const auto &replicas = m_service.replicas();
    return std::any_of(replicas.begin(), replicas.end(), [since](const FakeReplica &replica) {
        return !replica.isDown && !replica.isStale && replica.disruptedAt <= since;
    });
}

bool ConfigurationFleet::isLinkedSince(const FleetNode &a, const FleetNode &b, MonoTime since) const
{
    const auto healed = a.healedAt.find(b.self.id.value());
    const bool wasRecentlyCut = healed != a.healedAt.end() && healed->second > since;
    return !wasRecentlyCut && !m_network.isPartitioned(a.self.id.value(), b.self.id.value());
}

void ConfigurationFleet::addViolation(const std::string &text)
{
    const auto ms = toMilliseconds(m_schedule.now().time_since_epoch()).count();
    m_violations.push_back("at " + std::to_string(ms) + " ms: " + text);
}

} // namespace magnolia::testing
