// Announcements push new revisions to peers quickly. Exchanges with random peers (push and pull) make up for lost
// messages, as in Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.
#include "configuration/internal/peermessages.h"

#include "configuration/configurationcore.h"
#include "configuration/internal/snapshots.h"
#include "configuration/internal/watchers.h"
#include "framework/global/hashing.h"

#include <algorithm>
#include <functional>

namespace magnolia::configuration
{

namespace
{

using PeerIds = std::vector<InstanceId>;

ConfigurationMessage makeMessage(const ConfigurationState &state, MessageKind kind, std::uint64_t queryId, MonoTime now)
{
    ConfigurationMessage message;
    message.kind = kind;
    message.revision = currentRevision(state);
    message.digest = state.current ? state.current->digest : 0;
    message.queryId = queryId;
    addWatcherContact(state, message, now);
    return message;
}

PeerIds localPeers(const ConfigurationState &state)
{
    PeerIds ids;
    for (const auto &[id, peer] : state.peers) {
        if (peer.dataCentre == state.self.dataCentre) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::map<DataCentreId, PeerIds> remotePeers(const ConfigurationState &state)
{
    std::map<DataCentreId, PeerIds> idsByDataCentre;
    for (const auto &[id, peer] : state.peers) {
        if (peer.dataCentre != state.self.dataCentre) {
            idsByDataCentre[peer.dataCentre].push_back(id);
        }
    }
    return idsByDataCentre;
}

/** Reduces `ids` to at most `count` randomly chosen ones. */
void sample(PeerIds &ids, std::size_t count, Random &random)
{
    for (std::size_t i = 0; i < std::min(count, ids.size()); ++i) {
        std::swap(ids[i], ids[i + random.below(ids.size() - i)]);
    }
    ids.resize(std::min(count, ids.size()));
}

void sendToAll(const PeerIds &ids, const ConfigurationMessage &message, ConfigurationEffects &effects)
{
    for (const InstanceId &id : ids) {
        effects.push_back(SendToPeer{id, message});
    }
}

bool haveAllAnswered(const ConfigurationState &state)
{
    return std::all_of(state.peers.begin(), state.peers.end(), [](const auto &entry) {
        return entry.second.hasAnsweredCatchUp || !entry.second.isQueriedInCatchUp;
    });
}

bool hasAnyAnswered(const ConfigurationState &state)
{
    return std::any_of(state.peers.begin(), state.peers.end(), [](const auto &entry) {
        return entry.second.hasAnsweredCatchUp;
    });
}

bool canEndCatchUp(const ConfigurationState &state, MonoTime now)
{
    const auto elapsed = now - state.catchUp.startedAt;
    if (elapsed >= state.parameters.catchUpTimeout) {
        return true;
    }
    if (!state.arePeersKnown || hasNewerPeer(state)) {
        return false;
    }
    if (haveAllAnswered(state) && state.catchUp.hasServiceAnswered) {
        return true;
    }
    return elapsed >= state.parameters.partialCatchUpTimeout && hasAnyAnswered(state);
}

} // namespace

void announceRevision(ConfigurationState &state, const InstanceId &source, MonoTime now, ConfigurationEffects &effects)
{
    if (!state.parameters.sendsAnnouncements) {
        return;
    }
    const ConfigurationMessage message = makeMessage(state, MessageKind::Announce, 0, now);
    PeerIds local = localPeers(state);
    const auto peer = state.peers.find(source);
    const bool isFromOwnDataCentre = peer != state.peers.end() && peer->second.dataCentre == state.self.dataCentre;
    if (isFromOwnDataCentre) {
        sample(local, state.parameters.localAnnouncementFanout, state.random);
    }
    sendToAll(local, message, effects);
    if (!source.isEmpty()) {
        return;
    }
    for (auto &[dataCentre, ids] : remotePeers(state)) {
        sample(ids, state.parameters.remoteAnnouncementFanout, state.random);
        sendToAll(ids, message, effects);
    }
}

void announceServiceLoss(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    if (state.parameters.allowsFallbackWatchers) {
        sendToAll(localPeers(state), makeMessage(state, MessageKind::ServiceLost, 0, now), effects);
    }
}

void exchangeIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    if (!state.parameters.runsExchanges || now < state.nextExchangeAt || state.peers.empty()) {
        return;
    }
    // The jitter keeps instances that started together from exchanging at the same time.
    const double share = 0.75 + 0.5 * state.random.unit();
    const auto interval = static_cast<double>(state.parameters.exchangeInterval.count()) * share;
    state.nextExchangeAt = now + Milliseconds(static_cast<std::int64_t>(interval));
    PeerIds candidates = localPeers(state);
    if (candidates.empty() || state.random.chance(state.parameters.remoteExchangeShare)) {
        const std::size_t localCount = candidates.size();
        for (auto &[dataCentre, ids] : remotePeers(state)) {
            candidates.insert(candidates.end(), ids.begin(), ids.end());
        }
        if (candidates.size() > localCount) {
            candidates.erase(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(localCount));
        }
    }
    sample(candidates, 1, state.random);
    sendToAll(candidates, makeMessage(state, MessageKind::Query, state.catchUp.queryId, now), effects);
}

void chooseCatchUpPeers(ConfigurationState &state)
{
    // The weights depend on the querying instance, so that queries spread over the remote peers.
    std::map<DataCentreId, std::vector<std::pair<std::uint64_t, KnownPeer *>>> remote;
    for (auto &[id, peer] : state.peers) {
        peer.isQueriedInCatchUp = peer.dataCentre == state.self.dataCentre;
        if (!peer.isQueriedInCatchUp) {
            remote[peer.dataCentre].emplace_back(rendezvousWeight(state.self.id.value(), id.value()), &peer);
        }
    }
    for (auto &[dataCentre, peers] : remote) {
        std::sort(peers.begin(), peers.end(), std::greater<>());
        peers.resize(std::min(peers.size(), state.parameters.catchUpRemotePeers));
        for (const auto &[weight, peer] : peers) {
            peer->isQueriedInCatchUp = true;
        }
    }
}

void startCatchUp(ConfigurationState &state, MonoTime now)
{
    if (!state.parameters.runsCatchUp) {
        return;
    }
    state.lastMessageAt = now;
    state.catchUp = CatchUp{true, state.catchUp.queryId + 1, now, now, false};
    for (auto &[id, peer] : state.peers) {
        peer.hasAnsweredCatchUp = false;
    }
}

void continueCatchUp(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    CatchUp &catchUp = state.catchUp;
    if (!catchUp.isActive) {
        return;
    }
    if (canEndCatchUp(state, now)) {
        catchUp.isActive = false;
        return;
    }
    if (now < catchUp.nextQueryAt) {
        return;
    }
    catchUp.nextQueryAt = now + state.parameters.catchUpQueryInterval;
    const ConfigurationMessage message = makeMessage(state, MessageKind::Query, catchUp.queryId, now);
    for (const auto &[id, peer] : state.peers) {
        if (peer.isQueriedInCatchUp && !peer.hasAnsweredCatchUp) {
            effects.push_back(SendToPeer{id, message});
        }
    }
}

void onMessage(ConfigurationState &state, const InstanceId &from, const ConfigurationMessage &message, MonoTime now,
    ConfigurationEffects &effects)
{
    const auto it = state.peers.find(from);
    if (it == state.peers.end()) {
        // The sender is not in the peer view yet. Its query is answered, but its state is ignored.
        if (message.kind == MessageKind::Query) {
            const auto answer = makeMessage(state, MessageKind::Announce, message.queryId, now);
            effects.push_back(SendToPeer{from, answer});
        }
        return;
    }
    state.lastMessageAt = now;
    KnownPeer &peer = it->second;
    const bool isLocal = peer.dataCentre == state.self.dataCentre;
    if (message.revision >= peer.revision) {
        peer.revision = message.revision;
        peer.digest = message.digest;
    }
    if (isLocal && (message.kind == MessageKind::ServiceLost || message.watcher.isEmpty())) {
        clearWatcherContact(state, from);
    }
    if (isLocal && !message.watcher.isEmpty() && message.watcher != state.self.id) {
        const Milliseconds age(std::min<std::uint64_t>(
            message.watcherContactAgeMs, static_cast<std::uint64_t>(2 * state.parameters.watcherTimeout.count())));
        mergeWatcherContact(state, WatcherContact{message.watcher, now - age}, now);
    }
    if (message.kind == MessageKind::Query) {
        effects.push_back(SendToPeer{from, makeMessage(state, MessageKind::Announce, message.queryId, now)});
    } else if (state.catchUp.isActive && message.queryId == state.catchUp.queryId) {
        peer.hasAnsweredCatchUp = true;
    }
    reportDivergence(state, from, peer, effects);
}

} // namespace magnolia::configuration
