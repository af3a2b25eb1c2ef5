// Election of watchers by rendezvous hashing, and scheduling of service calls.
#include "configuration/internal/watchers.h"

#include "configuration/configurationcore.h"
#include "configuration/internal/peermessages.h"
#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::configuration
{

namespace
{

constexpr std::uint32_t maxBackoffDoublings = 10;
constexpr double minBackoffShare = 0.75;
constexpr double backoffShareSpread = 0.5;

bool isElectedWatcher(const ConfigurationState &state, const InstanceId &id)
{
    if (id == state.self.id) {
        return state.isElected;
    }
    const auto peer = state.peers.find(id);
    if (peer == state.peers.end() || peer->second.dataCentre != state.self.dataCentre) {
        return false;
    }
    std::size_t higherCount = watcherWeight(state.self.id) > peer->second.weight ? 1 : 0;
    for (const auto &[other, known] : state.peers) {
        higherCount += known.dataCentre == state.self.dataCentre && known.weight > peer->second.weight ? 1 : 0;
    }
    return higherCount < state.parameters.watchersPerDataCentre;
}

/** Watchers are few and retry soon. All other instances share one call rate, so the delay grows with their number. */
Milliseconds meanBackoff(const ConfigurationState &state)
{
    const ConfigurationParameters &parameters = state.parameters;
    if (!state.isElected) {
        const std::uint64_t intervalMs = (state.peers.size() + 1) * 1000 / parameters.nonWatcherCallsPerSecond;
        return std::max(parameters.maxBackoff, Milliseconds(intervalMs));
    }
    const std::uint32_t doublings = std::min(state.calls.consecutiveFailures, maxBackoffDoublings);
    return std::min(parameters.initialBackoff * (std::int64_t{1} << doublings), parameters.maxBackoff);
}

Milliseconds nextBackoff(ConfigurationState &state)
{
    const double share = minBackoffShare + backoffShareSpread * state.random.unit();
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(meanBackoff(state).count()) * share));
}

/** Schedules or cancels the fallback calls of an instance, depending on whether a watcher is active. */
void updateFallbackStart(ConfigurationState &state, MonoTime now)
{
    if (!state.parameters.allowsFallbackWatchers || hasActiveWatcher(state, now)) {
        state.fallbackStartAt.reset();
    } else if (!state.fallbackStartAt) {
        const auto spread = static_cast<std::uint64_t>(state.parameters.fallbackJitter.count());
        state.fallbackStartAt = now + Milliseconds(state.random.below(spread));
    }
}

bool shouldCallService(const ConfigurationState &state, MonoTime now)
{
    const bool isOwnContact = state.watcherContact && state.watcherContact->watcher == state.self.id;
    return state.isElected || state.catchUp.isActive || (state.parameters.allowsFallbackWatchers && isOwnContact)
        || (state.fallbackStartAt && now >= *state.fallbackStartAt);
}

void markServiceLost(ConfigurationState &state)
{
    clearWatcherContact(state, state.self.id);
    if (!state.calls.isServiceLost) {
        state.calls.isServiceLost = true;
        state.calls.lossAnnouncements = 0;
    }
}

void announceServiceLossIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    ServiceCalls &calls = state.calls;
    if (calls.isServiceLost && calls.lossAnnouncements < state.parameters.lossAnnouncements
        && now >= calls.nextLossAnnouncementAt) {
        ++calls.lossAnnouncements;
        calls.nextLossAnnouncementAt = now + state.parameters.lossAnnouncementInterval;
        announceServiceLoss(state, now, effects);
    }
}

Revision highestKnownRevision(const ConfigurationState &state)
{
    Revision highest = currentRevision(state);
    if (state.parameters.remembersRejections && !state.rejected.empty()) {
        highest = std::max(highest, state.rejected.rbegin()->first);
    }
    return highest;
}

} // namespace

std::uint64_t watcherWeight(const InstanceId &id)
{
    return rendezvousWeight("configuration-watcher", id.value());
}

void electWatchers(ConfigurationState &state)
{
    const std::uint64_t ownWeight = watcherWeight(state.self.id);
    std::size_t higherCount = 0;
    for (const auto &[id, peer] : state.peers) {
        higherCount += peer.dataCentre == state.self.dataCentre && peer.weight > ownWeight ? 1 : 0;
    }
    state.isElected = higherCount < state.parameters.watchersPerDataCentre;
}

bool hasActiveWatcher(const ConfigurationState &state, MonoTime now)
{
    if (!state.watcherContact || now - state.watcherContact->reachedAt > state.parameters.watcherTimeout) {
        return false;
    }
    // An isolated instance cannot rely on a watcher other than itself.
    return state.watcherContact->watcher == state.self.id
        || now - state.lastMessageAt <= state.parameters.isolationTimeout;
}

void mergeWatcherContact(ConfigurationState &state, const WatcherContact &reported, MonoTime now)
{
    if (now - reported.reachedAt > state.parameters.watcherTimeout) {
        return;
    }
    if (!hasActiveWatcher(state, now) || state.watcherContact->watcher == reported.watcher) {
        if (!state.watcherContact || state.watcherContact->reachedAt < reported.reachedAt) {
            state.watcherContact = reported;
        }
        return;
    }
    const bool isReportedElected = isElectedWatcher(state, reported.watcher);
    const bool isCurrentElected = isElectedWatcher(state, state.watcherContact->watcher);
    // Between two fallback watchers the higher weight wins, so that all but one of them stop their calls.
    const bool isPreferred = isReportedElected != isCurrentElected
        ? isReportedElected
        : (isReportedElected ? reported.reachedAt > state.watcherContact->reachedAt
                             : watcherWeight(reported.watcher) > watcherWeight(state.watcherContact->watcher));
    if (isPreferred) {
        state.watcherContact = reported;
    }
}

void addWatcherContact(const ConfigurationState &state, ConfigurationMessage &message, MonoTime now)
{
    if (hasActiveWatcher(state, now)) {
        message.watcher = state.watcherContact->watcher;
        message.watcherContactAgeMs
            = static_cast<std::uint64_t>(toMilliseconds(now - state.watcherContact->reachedAt).count());
    }
}

void clearWatcherContact(ConfigurationState &state, const InstanceId &watcher)
{
    if (state.watcherContact && state.watcherContact->watcher == watcher) {
        state.watcherContact.reset();
    }
}

void callServiceIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    ServiceCalls &calls = state.calls;
    const auto overdue = now - calls.startedAt - calls.wait;
    if (calls.isInFlight && overdue > state.parameters.callOverdueAfter) {
        markServiceLost(state);
    }
    if (calls.isInFlight && overdue > state.parameters.callTimeout) {
        onServiceFailure(state, calls.callId, now);
    }
    announceServiceLossIfDue(state, now, effects);
    updateFallbackStart(state, now);
    if (calls.isInFlight || now < calls.nextAt || !shouldCallService(state, now)) {
        return;
    }
    calls.isInFlight = true;
    calls.startedAt = now;
    ++calls.callId;
    calls.wait = state.catchUp.isActive ? Milliseconds(0) : state.parameters.watchWait;
    effects.push_back(
        CallService{calls.callId, highestKnownRevision(state), calls.wait, calls.replica % state.self.replicas});
    if (state.parameters.rotatesReplicas) {
        ++calls.replica;
    }
}

void onServiceAnswer(ConfigurationState &state, std::uint64_t callId, MonoTime now)
{
    ServiceCalls &calls = state.calls;
    if (!calls.isInFlight || callId != calls.callId) {
        return;
    }
    calls.isInFlight = false;
    calls.consecutiveFailures = 0;
    calls.isServiceLost = false;
    calls.nextAt = std::max(now, calls.startedAt + state.parameters.minCallInterval);
    state.catchUp.hasServiceAnswered = true;
    mergeWatcherContact(state, WatcherContact{state.self.id, now}, now);
}

void onServiceFailure(ConfigurationState &state, std::uint64_t callId, MonoTime now)
{
    ServiceCalls &calls = state.calls;
    if (!calls.isInFlight || callId != calls.callId) {
        return;
    }
    calls.isInFlight = false;
    calls.nextAt = now + nextBackoff(state);
    ++calls.consecutiveFailures;
    markServiceLost(state);
}

} // namespace magnolia::configuration
