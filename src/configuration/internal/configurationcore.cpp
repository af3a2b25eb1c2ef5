// Dispatch of events, and actions that are due by time.
#include "configuration/configurationcore.h"

#include "configuration/internal/peermessages.h"
#include "configuration/internal/snapshots.h"
#include "configuration/internal/watchers.h"
#include "configuration/snapshotdelta.h"

namespace magnolia::configuration
{

namespace
{

void replacePeers(ConfigurationState &state, const std::vector<PeerInfo> &peers)
{
    std::map<InstanceId, KnownPeer> fresh;
    for (const PeerInfo &info : peers) {
        if (info.id == state.self.id) {
            continue;
        }
        const auto known = state.peers.find(info.id);
        KnownPeer peer = known == state.peers.end() ? KnownPeer() : known->second;
        peer.dataCentre = info.dataCentre;
        peer.weight = watcherWeight(info.id);
        fresh.emplace(info.id, std::move(peer));
    }
    state.peers = std::move(fresh);
    state.arePeersKnown = true;
    electWatchers(state);
    chooseCatchUpPeers(state);
    if (state.watcherContact && state.watcherContact->watcher != state.self.id
        && !state.peers.contains(state.watcherContact->watcher)) {
        state.watcherContact.reset();
    }
}

/** After a pause, discards the calls in flight and starts a catch-up, since the current revision may be outdated. */
void resetAfterPause(ConfigurationState &state, MonoTime now)
{
    const bool wasPaused = now - state.lastActiveAt > state.parameters.pauseThreshold;
    state.lastActiveAt = std::max(now, state.lastActiveAt);
    if (!wasPaused || !state.parameters.detectsPauses) {
        return;
    }
    state.calls.isInFlight = false;
    state.calls.nextAt = now;
    state.fetch = PeerFetch();
    state.watcherContact.reset();
    startCatchUp(state, now);
}

struct EventHandler
{
    ConfigurationState &state;
    MonoTime now;
    ConfigurationEffects &effects;

    void operator()(const PeersChanged &event) const
    {
        replacePeers(state, event.peers);
    }
    void operator()(const ServiceAnswered &event) const
    {
        onServiceAnswer(state, event.callId, now);
        if (event.snapshot) {
            applySnapshot(state, *event.snapshot, InstanceId(), now, effects);
        }
    }
    void operator()(const ServiceFailed &event) const
    {
        onServiceFailure(state, event.callId, now);
    }
    void operator()(const MessageReceived &event) const
    {
        onMessage(state, event.from, event.message, now, effects);
    }
    void operator()(const SnapshotReceived &event) const
    {
        onSnapshot(state, event.from, event.answer, now, effects);
    }
    void operator()(const FetchFailed &event) const
    {
        onFetchFailure(state, event.from, now);
    }
};

void performDueActions(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    continueCatchUp(state, now, effects);
    fetchIfDue(state, now, effects);
    callServiceIfDue(state, now, effects);
    exchangeIfDue(state, now, effects);
}

} // namespace

void start(ConfigurationState &state, MonoTime now)
{
    state.lastActiveAt = now;
    // Keeps instances that start at the same time from calling the service at the same time.
    const auto spread = static_cast<std::uint64_t>(state.parameters.minCallInterval.count());
    state.calls.nextAt = now + Milliseconds(state.random.below(spread));
    state.calls.replica = state.random.below(state.self.replicas);
    state.nextExchangeAt = now + state.parameters.exchangeInterval;
    electWatchers(state);
    startCatchUp(state, now);
}

ConfigurationEffects step(ConfigurationState &state, const ConfigurationEvent &event, MonoTime now)
{
    ConfigurationEffects effects;
    resetAfterPause(state, now);
    std::visit(EventHandler{state, now, effects}, event);
    performDueActions(state, now, effects);
    return effects;
}

ConfigurationEffects tick(ConfigurationState &state, MonoTime now)
{
    ConfigurationEffects effects;
    resetAfterPause(state, now);
    performDueActions(state, now, effects);
    return effects;
}

bool isReady(const ConfigurationState &state)
{
    return state.current != nullptr && !state.catchUp.isActive;
}

Revision currentRevision(const ConfigurationState &state)
{
    return state.current ? state.current->snapshot.revision : Revision();
}

bool isCallingService(const ConfigurationState &state)
{
    return state.calls.isInFlight || state.isElected;
}

SnapshotAnswer answerRequest(const ConfigurationState &state, const SnapshotRequest &request)
{
    if (!state.current) {
        return {};
    }
    const DigestedSnapshot &current = *state.current;
    for (const auto &earlier : state.history) {
        if (earlier->snapshot.revision == request.base && earlier->digest == request.baseDigest) {
            return makeDelta(earlier->snapshot, current.snapshot, current.digest);
        }
    }
    if (request.base >= current.snapshot.revision) {
        return SnapshotAnswer{current.snapshot.revision, current.digest, request.base, {}};
    }
    static const ConfigurationSnapshot empty;
    return makeDelta(empty, current.snapshot, current.digest);
}

} // namespace magnolia::configuration
