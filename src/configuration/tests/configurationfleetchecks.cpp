// What the fleet of the tests checks: no revert, nothing missed at a start, in force in time.
#include "configuration/tests/configurationfleet.h"

#include <algorithm>

namespace magnolia::testing
{

using namespace magnolia::configuration;

namespace
{

/**
 * A revision that the service held for at least this long must have been seen: an instance that is cut off from all
 * its peers takes 2 s to notice, up to 1 s to begin, and 1 s for its call.
 */
constexpr Milliseconds visibleTime{4'000};
/** How long one instance has been able to reach the service for the limit to count. */
constexpr Milliseconds settleTime{5'000};
} // namespace

void ConfigurationFleet::checkSettled()
{
    for (auto &[id, node] : m_nodes) {
        if (!isReady(*node.state) || currentRevision(*node.state) != m_lastValid) {
            violate(id + " ends with revision " + std::to_string(currentRevision(*node.state).count()) + " of "
                + std::to_string(m_lastValid.count()));
        }
    }
}

bool ConfigurationFleet::isAppliedEverywhere(Revision revision) const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [revision](const auto &entry) {
        return currentRevision(*entry.second.state) >= revision;
    });
}

void ConfigurationFleet::noteRollCall(FleetNode &node)
{
    node.wasReady = false;
    node.rollCallAt = m_schedule.now();
    node.heldByPeers.clear();
    for (const auto &[id, peer] : m_nodes) {
        const bool isUsable = peer.isUp && !peer.isPaused && &peer != &node && isReady(*peer.state);
        if (isUsable && !node.unreachableSince.contains(id)) {
            node.heldByPeers[id] = currentRevision(*peer.state);
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
    for (const auto &[id, revision] : node.heldByPeers) {
        const FleetNode &peer = m_nodes[id];
        const bool isStillReachable = peer.disturbedAt < node.rollCallAt && isLinkedSince(node, peer, node.rollCallAt);
        if (isStillReachable && currentRevision(*node.state) < revision) {
            violate(node.self.id.value() + " became ready with revision "
                + std::to_string(currentRevision(*node.state).count()) + " while " + id + " had "
                + std::to_string(revision.count()));
        }
    }
}

void ConfigurationFleet::checkInForce(const Publish &publish)
{
    if (!couldBeSeen(publish)) {
        return;
    }
    for (auto &[id, node] : m_nodes) {
        const bool isDue = node.isUp && !node.isPaused && node.disturbedAt <= publish.at;
        if (isDue && currentRevision(*node.state) < publish.revision && isObliged(node, publish.at)) {
            violate(id + " has revision " + std::to_string(currentRevision(*node.state).count()) + " 5 s after "
                + std::to_string(publish.revision.count()) + " was published");
        }
    }
}

// The service holds the latest revision only: a valid one that an invalid one replaces at once may never be seen.
bool ConfigurationFleet::couldBeSeen(const Publish &publish) const
{
    bool isFollowedByInvalid = false;
    for (std::size_t i = publish.revision.count() - 1; i < m_publishes.size(); ++i) {
        const Publish &later = m_publishes[i];
        const MonoTime replacedAt = i + 1 < m_publishes.size() ? m_publishes[i + 1].at : m_schedule.now();
        isFollowedByInvalid = isFollowedByInvalid || !later.isValid;
        const bool isInTime = later.at + visibleTime <= publish.at + propagationLimit;
        if (later.isValid && isInTime && replacedAt - later.at >= visibleTime) {
            return true;
        }
    }
    return !isFollowedByInvalid;
}

bool ConfigurationFleet::isObliged(FleetNode &node, MonoTime publishedAt)
{
    const MonoTime since = publishedAt - settleTime;
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](auto &entry) {
        return canWatch(entry.second, since) && isLinkedSince(node, entry.second, since);
    });
}

bool ConfigurationFleet::canWatch(FleetNode &node, MonoTime since)
{
    const bool isSteady = node.isUp && !node.isPaused && node.disturbedAt <= since;
    if (!isSteady || node.isCutFromService || node.serviceDisturbedAt > since) {
        return false;
    }
    const auto &replicas = m_service.replicas();
    return std::any_of(replicas.begin(), replicas.end(), [since](const FakeReplica &replica) {
        return !replica.isDown && !replica.isStale && replica.disturbedAt <= since;
    });
}

bool ConfigurationFleet::isLinkedSince(const FleetNode &a, const FleetNode &b, MonoTime since) const
{
    const auto healed = a.healedAt.find(b.self.id.value());
    const bool wasCutLately = healed != a.healedAt.end() && healed->second > since;
    return !wasCutLately && !m_network.isCut(a.self.id.value(), b.self.id.value());
}

void ConfigurationFleet::violate(const std::string &text)
{
    const auto ms = toMilliseconds(m_schedule.now().time_since_epoch()).count();
    m_violations.push_back("at " + std::to_string(ms) + " ms: " + text);
}

} // namespace magnolia::testing
