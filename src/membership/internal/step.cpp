// Handles one message.
#include "membership/internal/antientropy.h"
#include "membership/internal/compose.h"
#include "membership/internal/probing.h"
#include "membership/internal/table.h"
#include "membership/membershipcore.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

bool isValidRecord(const MemberRecord &record, const MembershipParameters &parameters)
{
    return record.status <= MemberStatus::Dead && record.peerAddress.size() <= parameters.maxIdBytes;
}

bool isValidId(const std::string &id, const MembershipParameters &parameters)
{
    return !id.empty() && id.size() <= parameters.maxIdBytes;
}

bool hasValidUpdates(const MembershipMessage &message, const MembershipParameters &parameters)
{
    const bool areMembersValid
        = std::all_of(message.memberUpdates.begin(), message.memberUpdates.end(), [&](const MemberUpdate &update) {
              return isValidId(update.id.value(), parameters) && isValidRecord(update.record, parameters);
          });
    const bool areSharedValid
        = std::all_of(message.sharedUpdates.begin(), message.sharedUpdates.end(), [&](const SharedUpdate &update) {
              return isValidId(update.key, parameters) && update.value.value.size() <= parameters.maxSharedValueBytes;
          });
    const bool areUpstreamsValid = std::all_of(
        message.upstreamUpdates.begin(), message.upstreamUpdates.end(), [&](const UpstreamUpdate &update) {
            return isValidId(update.id.value(), parameters);
        });
    return areMembersValid && areSharedValid && areUpstreamsValid;
}

void applyUpdates(MembershipState &state, const InstanceId &from, const MembershipMessage &message,
    const ClockReading &now, MembershipOutput &output)
{
    const auto it = state.members.find(from);
    const bool wasDead = it != state.members.end() && isDead(it->second);
    applyMemberRecord(state, from, message.senderRecord, now, "own word", output);
    if (wasDead && !isDead(it->second) && !state.isJoining) {
        scheduleRecheckOfAllDead(state);
    }
    if (message.kind != MessageKind::SyncReply) {
        for (const MemberUpdate &update : message.memberUpdates) {
            applyMemberRecord(state, update.id, update.record, now, "gossip", output);
        }
    }
    for (const SharedUpdate &update : message.sharedUpdates) {
        applySharedUpdate(state, update, output);
    }
    for (const UpstreamUpdate &update : message.upstreamUpdates) {
        applyUpstreamUpdate(state, update, now, output);
    }
}

void handlePing(MembershipState &state, const InstanceId &from, const MembershipMessage &ping, MembershipOutput &output)
{
    MembershipMessage ack = makeMessage(state, MessageKind::Ack);
    ack.sequenceNumber = ping.sequenceNumber;
    ack.target = state.selfId;
    if (ping.sharedDigest != ack.sharedDigest) {
        addSharedStateUpdates(state, ack);
    }
    sendWithUpdates(state, {from, ping.senderRecord.peerAddress}, std::move(ack), output);
}

// A peer whose shared state differs has included it in its ack; this sends the state of this instance in return.
void replyWithSharedState(
    MembershipState &state, const InstanceId &from, const MembershipMessage &ack, MembershipOutput &output)
{
    if (ack.sharedDigest == sharedDigest(state) || !tryTakeMessage(state.gossipRateLimiter)) {
        return;
    }
    MembershipMessage gossip = makeMessage(state, MessageKind::Gossip);
    addSharedStateUpdates(state, gossip);
    sendWithUpdates(state, {from, ack.senderRecord.peerAddress}, std::move(gossip), output);
}

void handleByKind(MembershipState &state, const InstanceId &from, const MembershipMessage &message,
    const ClockReading &now, MembershipOutput &output)
{
    switch (message.kind) {
    case MessageKind::Ping:
        handlePing(state, from, message, output);
        break;
    case MessageKind::Ack:
        handleAck(state, from, message, output);
        replyWithSharedState(state, from, message, output);
        break;
    case MessageKind::PingRequest:
        handlePingRequest(state, from, message, now, output);
        break;
    case MessageKind::Gossip:
        break;
    case MessageKind::SyncRequest:
        handleSyncRequest(state, from, message, output);
        break;
    case MessageKind::SyncReply:
        handleSyncReply(state, from, message, now, output);
        break;
    }
}

} // namespace

bool isValid(const MembershipMessage &message, const MembershipParameters &parameters)
{
    const bool isKindValid = message.kind >= MessageKind::Ping && message.kind <= MessageKind::SyncReply;
    return isKindValid && message.target.value().size() <= parameters.maxIdBytes
        && message.cursor.value().size() <= parameters.maxIdBytes
        && message.targetAddress.size() <= parameters.maxIdBytes && isValidRecord(message.senderRecord, parameters)
        && message.senderRecord.incarnation != Incarnation() && hasValidUpdates(message, parameters);
}

MembershipOutput step(
    MembershipState &state, const InstanceId &from, const MembershipMessage &message, const ClockReading &now)
{
    MembershipOutput output;
    if (from == state.selfId || !isValid(message, state.parameters)) {
        return output;
    }
    applyUpdates(state, from, message, now, output);
    handleByKind(state, from, message, now, output);
    compareDigests(state, from, message, now, output);
    return output;
}

} // namespace magnolia::membership
