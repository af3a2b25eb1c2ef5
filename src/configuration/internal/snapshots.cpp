// Validation, fetching and replacement of snapshots. Only this file changes the current snapshot.
#include "configuration/internal/snapshots.h"

#include "configuration/configurationcore.h"
#include "configuration/internal/peermessages.h"
#include "configuration/parseconfiguration.h"
#include "configuration/snapshotdelta.h"

#include <algorithm>

namespace magnolia::configuration
{

namespace
{

constexpr std::size_t maxRejections = 16;

bool isRejected(const ConfigurationState &state, Revision revision, std::uint64_t digest)
{
    const auto it = state.rejected.find(revision);
    return state.parameters.remembersRejections && it != state.rejected.end() && it->second == digest;
}

bool hasWantedRevision(const ConfigurationState &state, const KnownPeer &peer)
{
    return peer.revision > currentRevision(state) && !isRejected(state, peer.revision, peer.digest);
}

void rememberRejection(ConfigurationState &state, Revision revision, std::uint64_t digest)
{
    state.rejected[revision] = digest;
    if (state.rejected.size() > maxRejections) {
        state.rejected.erase(state.rejected.begin());
    }
}

void replaceCurrent(ConfigurationState &state, DigestedSnapshot fresh)
{
    if (state.current) {
        state.history.push_front(state.current);
        if (state.history.size() > state.parameters.historyLength) {
            state.history.pop_back();
        }
    }
    state.current = std::make_shared<const DigestedSnapshot>(std::move(fresh));
    state.rejected.erase(state.rejected.begin(), state.rejected.upper_bound(state.current->snapshot.revision));
}

/** Chooses a random one of the peers with the highest revision, preferably in the own data centre. */
std::optional<InstanceId> chooseFetchPeer(ConfigurationState &state, MonoTime now)
{
    std::vector<std::pair<InstanceId, const KnownPeer *>> best;
    const auto key = [&state](const KnownPeer &peer) {
        return std::pair(peer.revision, peer.dataCentre == state.self.dataCentre);
    };
    for (const auto &[id, peer] : state.peers) {
        if (!hasWantedRevision(state, peer) || now < peer.avoidFetchUntil) {
            continue;
        }
        if (!best.empty() && key(peer) > key(*best.front().second)) {
            best.clear();
        }
        if (best.empty() || key(peer) == key(*best.front().second)) {
            best.emplace_back(id, &peer);
        }
    }
    if (best.empty()) {
        return std::nullopt;
    }
    return best[state.random.below(best.size())].first;
}

const ConfigurationSnapshot &currentSnapshot(const ConfigurationState &state)
{
    static const ConfigurationSnapshot empty;
    return state.current ? state.current->snapshot : empty;
}

} // namespace

bool hasNewerPeer(const ConfigurationState &state)
{
    return std::any_of(state.peers.begin(), state.peers.end(), [&state](const auto &entry) {
        return hasWantedRevision(state, entry.second);
    });
}

void applySnapshot(ConfigurationState &state, ConfigurationSnapshot snapshot, const InstanceId &source, MonoTime now,
    ConfigurationEffects &effects)
{
    const Revision current = currentRevision(state);
    if (snapshot.revision == current) {
        return;
    }
    if (snapshot.revision < current && state.parameters.rejectsLowerRevisions) {
        if (source.isEmpty() && state.calls.lastReportedStale != snapshot.revision) {
            state.calls.lastReportedStale = snapshot.revision;
            effects.push_back(ReportStale{snapshot.revision, current});
        }
        return;
    }
    const std::uint64_t digest = snapshotDigest(snapshot);
    if (isRejected(state, snapshot.revision, digest)) {
        return;
    }
    auto checked = parseConfiguration(snapshot);
    if (!checked) {
        rememberRejection(state, snapshot.revision, digest);
        effects.push_back(ReportRejected{snapshot.revision, source, std::move(checked.error())});
        return;
    }
    replaceCurrent(state, DigestedSnapshot{std::move(snapshot), digest});
    effects.push_back(ApplyConfiguration{std::move(*checked), source});
    announceRevision(state, source, now, effects);
}

void fetchIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    PeerFetch &fetch = state.fetch;
    if (fetch.from && now - fetch.startedAt > state.parameters.fetchTimeout) {
        onFetchFailure(state, InstanceId(*fetch.from), now);
    }
    if (fetch.from || now < fetch.nextAt) {
        return;
    }
    fetch.from = chooseFetchPeer(state, now);
    if (!fetch.from) {
        return;
    }
    fetch.startedAt = now;
    fetch.nextAt = now + state.parameters.minFetchInterval;
    SnapshotRequest request;
    if (state.current && !fetch.isFullSnapshotNeeded) {
        request = SnapshotRequest{state.current->snapshot.revision, state.current->digest};
    }
    fetch.isFullSnapshotNeeded = false;
    effects.push_back(FetchFromPeer{*fetch.from, request});
}

void onSnapshot(ConfigurationState &state, const InstanceId &from, const SnapshotAnswer &answer, MonoTime now,
    ConfigurationEffects &effects)
{
    if (state.fetch.from == from) {
        state.fetch.from.reset();
    }
    const auto peer = state.peers.find(from);
    if (peer != state.peers.end()) {
        // The revision may differ from the announced one: the peer got a newer one, or restarted with a lower one.
        peer->second.revision = answer.revision;
        peer->second.digest = answer.digest;
    }
    if (answer.revision <= currentRevision(state) && state.parameters.rejectsLowerRevisions) {
        return;
    }
    static const ConfigurationSnapshot empty;
    auto snapshot = applyDelta(answer.base == Revision() ? empty : currentSnapshot(state), answer);
    if (!snapshot) {
        // The current snapshot changed after the request, so the delta no longer applies.
        state.fetch.isFullSnapshotNeeded = true;
        return;
    }
    applySnapshot(state, std::move(*snapshot), from, now, effects);
}

void onFetchFailure(ConfigurationState &state, const InstanceId &from, MonoTime now)
{
    if (state.fetch.from == from) {
        state.fetch.from.reset();
    }
    const auto peer = state.peers.find(from);
    if (peer != state.peers.end()) {
        peer->second.avoidFetchUntil = now + state.parameters.failedFetchCooldown;
    }
}

void reportDivergence(
    const ConfigurationState &state, const InstanceId &id, KnownPeer &peer, ConfigurationEffects &effects)
{
    const bool isDiverged
        = state.current && peer.revision == currentRevision(state) && peer.digest != state.current->digest;
    if (isDiverged && !peer.isDivergenceReported) {
        effects.push_back(ReportDiverged{id, peer.revision});
    }
    peer.isDivergenceReported = isDiverged;
}

} // namespace magnolia::configuration
