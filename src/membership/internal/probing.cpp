// Probing as in SWIM, sections 3.1 and 4.3: round-robin over the members in random order.
#include "membership/internal/probing.h"

#include "membership/internal/compose.h"
#include "membership/internal/memberorder.h"
#include "membership/internal/table.h"

namespace magnolia::membership
{
namespace
{

void sendPing(MembershipState &state, const InstanceId &id, std::uint64_t sequenceNumber, MembershipOutput &output)
{
    const auto it = state.members.find(id);
    if (it == state.members.end()) {
        return;
    }
    MembershipMessage ping = makeMessage(state, MessageKind::Ping);
    ping.sequenceNumber = sequenceNumber;
    sendWithUpdates(state, addressOf(id, it->second), std::move(ping), output);
}

void startProbe(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    const auto target = nextLiveMember(state, state.probeOrder, random);
    if (!target) {
        return;
    }
    state.currentProbe = Probe{++state.lastSequenceNumber, *target, now.monotonic, false};
    sendPing(state, *target, state.currentProbe->sequenceNumber, output);
}

void sendIndirectProbes(MembershipState &state, Random &random, MembershipOutput &output)
{
    state.currentProbe->isIndirect = true;
    const auto target = state.members.find(state.currentProbe->target);
    if (target == state.members.end()) {
        return;
    }
    std::vector<InstanceId> helpers;
    for (const auto &[id, member] : state.members) {
        if (member.record.status == MemberStatus::Alive && id != target->first) {
            helpers.push_back(id);
        }
    }
    keepRandomSubset(helpers, state.parameters.indirectProbeCount, random);
    for (const InstanceId &helper : helpers) {
        MembershipMessage request = makeMessage(state, MessageKind::PingRequest);
        request.sequenceNumber = state.currentProbe->sequenceNumber;
        request.target = target->first;
        request.targetAddress = target->second.record.peerAddress;
        sendWithUpdates(state, addressOf(helper, state.members[helper]), std::move(request), output);
    }
}

void handleProbeTimeout(MembershipState &state, const ClockReading &now, MembershipOutput &output)
{
    const InstanceId target = state.currentProbe->target;
    state.currentProbe.reset();
    const auto it = state.members.find(target);
    if (it == state.members.end() || it->second.record.status != MemberStatus::Alive) {
        return;
    }
    MemberRecord record = it->second.record;
    record.status = MemberStatus::Suspect;
    setRecord(state, target, record, now, "probe not answered", output);
    it->second.isLocalSuspicion = true;
}

void decideOnReprobing(const MembershipState &state, Member &member, const ClockReading &now, Random &random)
{
    member.hasReprobeDecision = true;
    const double probability
        = static_cast<double>(state.parameters.expectedReprobers) / static_cast<double>(liveMemberCount(state));
    if (member.isLocalSuspicion || random.chance(probability)) {
        member.reprobeAt = now.monotonic;
    } else {
        // The refutation may reach this instance late, whereas members that reprobe receive it directly.
        member.suspicionDeadline += state.parameters.gossipedSuspicionGrace;
    }
}

void declareDead(MembershipState &state, const InstanceId &id, const ClockReading &now, MembershipOutput &output)
{
    MemberRecord record = state.members[id].record;
    record.status = MemberStatus::Dead;
    setRecord(state, id, record, now, "suspicion not refuted", output);
}

std::vector<InstanceId> deadListedMembers(const MembershipState &state)
{
    std::vector<InstanceId> ids;
    for (const auto &[id, member] : state.members) {
        if (member.isListed && isDead(member) && !member.record.peerAddress.empty()) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<InstanceId> nextRecheckTarget(MembershipState &state)
{
    while (!state.recheckQueue.empty()) {
        const InstanceId id = state.recheckQueue.front();
        state.recheckQueue.pop_front();
        const auto it = state.members.find(id);
        if (it != state.members.end() && isDead(it->second)) {
            return id;
        }
    }
    return std::nullopt;
}

void probeRecheckQueue(MembershipState &state, MembershipOutput &output)
{
    while (!state.recheckQueue.empty() && tryTakeMessage(state.reprobeRateLimiter)) {
        if (const auto target = nextRecheckTarget(state)) {
            sendPing(state, *target, ++state.lastSequenceNumber, output);
        }
    }
}

void sendJoinProbes(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    if (now.monotonic < state.nextJoinProbeAt) {
        return;
    }
    state.nextJoinProbeAt = now.monotonic + state.parameters.joinInterval;
    std::vector<InstanceId> ids = deadListedMembers(state);
    keepRandomSubset(ids, state.parameters.joinProbeCount, random);
    for (const InstanceId &id : ids) {
        sendPing(state, id, ++state.lastSequenceNumber, output);
    }
}

} // namespace

void handleAck(MembershipState &state, const InstanceId &from, const MembershipMessage &ack, MembershipOutput &output)
{
    if (state.currentProbe && state.currentProbe->sequenceNumber == ack.sequenceNumber
        && state.currentProbe->target == ack.target) {
        state.currentProbe.reset();
    }
    const auto relay = state.relayedProbes.find(ack.sequenceNumber);
    if (relay == state.relayedProbes.end() || relay->second.target != from) {
        return;
    }
    MembershipMessage forwarded = makeMessage(state, MessageKind::Ack);
    forwarded.sequenceNumber = relay->second.requesterSequenceNumber;
    forwarded.target = from;
    const peerlink::PeerAddress to{relay->second.requester, relay->second.requesterAddress};
    state.relayedProbes.erase(relay);
    sendWithUpdates(state, to, std::move(forwarded), output);
}

void handlePingRequest(MembershipState &state, const InstanceId &from, const MembershipMessage &request,
    const ClockReading &now, MembershipOutput &output)
{
    if (state.relayedProbes.size() >= state.parameters.maxRelayedProbes || request.target == state.selfId) {
        return;
    }
    const std::uint64_t sequenceNumber = ++state.lastSequenceNumber;
    state.relayedProbes[sequenceNumber] = {from, request.senderRecord.peerAddress, request.sequenceNumber,
        request.target, now.monotonic + state.parameters.probeTimeout};
    MembershipMessage ping = makeMessage(state, MessageKind::Ping);
    ping.sequenceNumber = sequenceNumber;
    sendWithUpdates(state, {request.target, request.targetAddress}, std::move(ping), output);
}

void tickProbe(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    std::erase_if(state.relayedProbes, [&](const auto &entry) {
        return now.monotonic >= entry.second.expiresAt;
    });
    if (state.currentProbe) {
        const auto elapsed = now.monotonic - state.currentProbe->startedAt;
        if (elapsed >= state.parameters.probeTimeout) {
            handleProbeTimeout(state, now, output);
        } else if (elapsed >= state.parameters.directProbeTimeout && !state.currentProbe->isIndirect) {
            sendIndirectProbes(state, random, output);
        }
    }
    if (now.monotonic >= state.nextProbeAt) {
        state.nextProbeAt = now.monotonic + state.parameters.probeInterval;
        startProbe(state, now, random, output);
    }
}

void tickSuspicions(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    for (auto &[id, member] : state.members) {
        if (member.record.status != MemberStatus::Suspect) {
            continue;
        }
        if (now.monotonic >= member.suspicionDeadline) {
            declareDead(state, id, now, output);
            continue;
        }
        if (!member.hasReprobeDecision) {
            decideOnReprobing(state, member, now, random);
        }
        if (member.reprobeAt && now.monotonic >= *member.reprobeAt && tryTakeMessage(state.reprobeRateLimiter)) {
            member.reprobeAt = now.monotonic + state.parameters.reprobeInterval;
            sendPing(state, id, ++state.lastSequenceNumber, output);
        }
    }
}

void tickDeadProbes(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output)
{
    if (liveMemberCount(state) == 1) {
        sendJoinProbes(state, now, random, output);
        return;
    }
    probeRecheckQueue(state, output);
    if (now.monotonic < state.nextDeadProbeAt) {
        return;
    }
    state.nextDeadProbeAt = now.monotonic + state.parameters.deadProbeInterval;
    const std::vector<InstanceId> ids = deadListedMembers(state);
    if (!ids.empty()) {
        sendPing(state, ids[random.below(ids.size())], ++state.lastSequenceNumber, output);
    }
}

void scheduleRecheckOfAllDead(MembershipState &state)
{
    state.recheckQueue.clear();
    for (const InstanceId &id : deadListedMembers(state)) {
        state.recheckQueue.push_back(id);
    }
}

void resetAfterPause(MembershipState &state, const ClockReading &now)
{
    state.currentProbe.reset();
    state.relayedProbes.clear();
    state.syncSession.reset();
    state.digestsDifferSince.reset();
    state.nextProbeAt = now.monotonic;
    state.nextGossipAt = now.monotonic;
    for (auto &[id, member] : state.members) {
        if (member.record.status == MemberStatus::Suspect) {
            member.suspicionDeadline = now.monotonic + state.parameters.suspicionTimeout;
            member.hasReprobeDecision = true;
            member.reprobeAt = now.monotonic;
        }
    }
}

} // namespace magnolia::membership
