// Choice of watchers by rendezvous hashing, and the pace of their calls.
#include "configuration/internal/watchers.h"

#include "configuration/configurationcore.h"
#include "configuration/internal/peermessages.h"
#include "framework/global/hashing.h"

#include <algorithm>

namespace magnolia::configuration
{

namespace
{

constexpr std::uint32_t mostBackoffDoublings = 10;
constexpr double leastBackoffShare = 0.75;
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
    std::size_t better = watcherWeight(state.self.id) > peer->second.weight ? 1 : 0;
    for (const auto &[other, known] : state.peers) {
        better += known.dataCentre == state.self.dataCentre && known.weight > peer->second.weight ? 1 : 0;
    }
    return better < state.parameters.watchersPerDataCentre;
}

/** Watchers are few and retry soon. All others share a rate, so the more they are, the longer each waits. */
Milliseconds meanBackoff(const ConfigurationState &state)
{
    const ConfigurationParameters &parameters = state.parameters;
    if (!state.isElected) {
        const std::uint64_t shared = (state.peers.size() + 1) * 1000 / parameters.nonWatcherCallsPerSecond;
        return std::max(parameters.maxBackoff, Milliseconds(shared));
    }
    const std::uint32_t doublings = std::min(state.calls.consecutiveFailures, mostBackoffDoublings);
    return std::min(parameters.initialBackoff * (std::int64_t{1} << doublings), parameters.maxBackoff);
}

Milliseconds nextBackoff(ConfigurationState &state)
{
    const double share = leastBackoffShare + backoffShareSpread * state.random.unit();
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(meanBackoff(state).count()) * share));
}

/** Decides when an instance that is no watcher begins or ends to call. */
void updateVolunteer(ConfigurationState &state, MonoTime now)
{
    if (!state.parameters.allowsFallbackWatchers || hasActiveWatcher(state, now)) {
        state.fallbackStartAt.reset();
    } else if (!state.fallbackStartAt) {
        const auto spread = static_cast<std::uint64_t>(state.parameters.fallbackJitter.count());
        state.fallbackStartAt = now + Milliseconds(state.random.below(spread));
    }
}

bool wantsCall(const ConfigurationState &state, MonoTime now)
{
    const bool isOwnEvidence = state.watcherContact && state.watcherContact->watcher == state.self.id;
    return state.isElected || state.catchUp.isActive || (state.parameters.allowsFallbackWatchers && isOwnEvidence)
        || (state.fallbackStartAt && now >= *state.fallbackStartAt);
}

void noteLoss(ConfigurationState &state)
{
    dropEvidence(state, state.self.id);
    if (!state.calls.isServiceLost) {
        state.calls.isServiceLost = true;
        state.calls.lossAnnouncements = 0;
    }
}

/** Tells the data centre that this instance no longer reaches the service. */
void announceLossIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    ServiceCalls &calls = state.calls;
    if (calls.isServiceLost && calls.lossAnnouncements < state.parameters.lossAnnouncements
        && now >= calls.nextLossAnnouncementAt) {
        ++calls.lossAnnouncements;
        calls.nextLossAnnouncementAt = now + state.parameters.lossAnnouncementInterval;
        announceLoss(state, now, effects);
    }
}

Revision highestSeen(const ConfigurationState &state)
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
    const std::uint64_t own = watcherWeight(state.self.id);
    std::size_t better = 0;
    for (const auto &[id, peer] : state.peers) {
        better += peer.dataCentre == state.self.dataCentre && peer.weight > own ? 1 : 0;
    }
    state.isElected = better < state.parameters.watchersPerDataCentre;
}

bool hasActiveWatcher(const ConfigurationState &state, MonoTime now)
{
    if (!state.watcherContact || now - state.watcherContact->reachedAt > state.parameters.watcherTimeout) {
        return false;
    }
    // Where no peer is heard at all, a watcher that is a peer helps no more.
    return state.watcherContact->watcher == state.self.id
        || now - state.lastMessageAt <= state.parameters.isolationTimeout;
}

void mergeEvidence(ConfigurationState &state, const WatcherContact &heard, MonoTime now)
{
    if (now - heard.reachedAt > state.parameters.watcherTimeout) {
        return;
    }
    if (!hasActiveWatcher(state, now) || state.watcherContact->watcher == heard.watcher) {
        if (!state.watcherContact || state.watcherContact->reachedAt < heard.reachedAt) {
            state.watcherContact = heard;
        }
        return;
    }
    const bool isHeardElected = isElectedWatcher(state, heard.watcher);
    const bool isKnownElected = isElectedWatcher(state, state.watcherContact->watcher);
    // Of two that are no watchers the weight decides, so that all but one of them end their calls.
    const bool isBetter = isHeardElected != isKnownElected
        ? isHeardElected
        : (isHeardElected ? heard.reachedAt > state.watcherContact->reachedAt
                          : watcherWeight(heard.watcher) > watcherWeight(state.watcherContact->watcher));
    if (isBetter) {
        state.watcherContact = heard;
    }
}

void addEvidence(const ConfigurationState &state, ConfigurationMessage &message, MonoTime now)
{
    if (hasActiveWatcher(state, now)) {
        message.watcher = state.watcherContact->watcher;
        message.watcherContactAgeMs
            = static_cast<std::uint64_t>(toMilliseconds(now - state.watcherContact->reachedAt).count());
    }
}

void dropEvidence(ConfigurationState &state, const InstanceId &watcher)
{
    if (state.watcherContact && state.watcherContact->watcher == watcher) {
        state.watcherContact.reset();
    }
}

void callServiceIfDue(ConfigurationState &state, MonoTime now, ConfigurationEffects &effects)
{
    ServiceCalls &calls = state.calls;
    const auto late = now - calls.startedAt - calls.wait;
    if (calls.isInFlight && late > state.parameters.callOverdueAfter) {
        noteLoss(state);
    }
    if (calls.isInFlight && late > state.parameters.callTimeout) {
        onServiceFailure(state, calls.callId, now);
    }
    announceLossIfDue(state, now, effects);
    updateVolunteer(state, now);
    if (calls.isInFlight || now < calls.nextAt || !wantsCall(state, now)) {
        return;
    }
    calls.isInFlight = true;
    calls.startedAt = now;
    ++calls.callId;
    calls.wait = state.catchUp.isActive ? Milliseconds(0) : state.parameters.watchWait;
    effects.push_back(CallService{calls.callId, highestSeen(state), calls.wait, calls.replica % state.self.replicas});
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
    mergeEvidence(state, WatcherContact{state.self.id, now}, now);
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
    noteLoss(state);
}

} // namespace magnolia::configuration
