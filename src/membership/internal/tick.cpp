// Runs the due timers.
#include "membership/internal/antientropy.h"
#include "membership/internal/compose.h"
#include "membership/internal/memberorder.h"
#include "membership/internal/probing.h"
#include "membership/internal/table.h"
#include "membership/membershipcore.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

void refillRateLimiters(MembershipState &state, MonoTime::duration elapsed)
{
    const MembershipParameters &parameters = state.parameters;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    refill(state.gossipRateLimiter, parameters.gossipBurst, parameters.gossipPerSecond, seconds);
    refill(state.reprobeRateLimiter, parameters.reprobeBurst, parameters.reprobesPerSecond, seconds);
}

// A random delay of the first probe spreads the probes of instances that start together over the interval.
void initialiseTimers(MembershipState &state, const ClockReading &now, Random &random)
{
    const auto interval = static_cast<std::uint64_t>(state.parameters.probeInterval.count());
    state.nextProbeAt = now.monotonic + Milliseconds(random.below(interval));
    state.gossipRateLimiter.availableMessages = state.parameters.gossipBurst;
    state.reprobeRateLimiter.availableMessages = state.parameters.reprobeBurst;
    state.lastTickAt = now.monotonic;
}

void detectPause(MembershipState &state, const ClockReading &now, MembershipOutput &output)
{
    const auto elapsed = now.monotonic - *state.lastTickAt;
    refillRateLimiters(state, elapsed);
    if (elapsed > state.parameters.pauseThreshold) {
        resetAfterPause(state, now);
        output.events.push_back(
            {EventKind::SelfPaused, state.selfId.value(), {}, {}, state.selfRecord.incarnation, "ticks too far apart"});
    }
    state.lastTickAt = now.monotonic;
}

void gossip(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    if (now.monotonic < state.nextGossipAt || state.pendingUpdates.empty()) {
        return;
    }
    state.nextGossipAt = now.monotonic + state.parameters.gossipInterval;
    for (std::uint32_t i = 0; i < state.parameters.gossipFanout && !state.pendingUpdates.empty(); ++i) {
        const auto target = nextLiveMember(state, state.gossipOrder, random);
        if (!target || !tryTakeMessage(state.gossipRateLimiter)) {
            return;
        }
        const peerlink::PeerAddress to = addressOf(*target, state.members[*target]);
        sendWithUpdates(state, to, makeMessage(state, MessageKind::Gossip), output);
    }
}

} // namespace

MembershipOutput tick(MembershipState &state, const ClockReading &now, Random &random)
{
    MembershipOutput output;
    if (!state.lastTickAt) {
        initialiseTimers(state, now, random);
    }
    detectPause(state, now, output);
    expireSync(state, now);
    tickSuspicions(state, now, random, output);
    tickProbe(state, now, random, output);
    tickDeadProbes(state, now, random, output);
    gossip(state, now, random, output);
    removeExpired(state, now, output);
    return output;
}

} // namespace magnolia::membership
