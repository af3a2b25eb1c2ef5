// Reading another member's table in bounded messages.
#include "membership/internal/antientropy.h"

#include "membership/internal/compose.h"
#include "membership/internal/table.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

/** Bytes of one record in a sync, with the ids and addresses in use. */
constexpr double typicalSyncRecordBytes = 60;
constexpr std::size_t fixedSyncRecordBytes = 30;
constexpr std::size_t maxRecheckQueueLength = 64;

bool isSyncDue(const MembershipState &state, const ClockReading &now)
{
    if (state.syncSession || !state.digestsDifferSince) {
        return false;
    }
    if (state.isJoining) {
        return true;
    }
    return now.monotonic >= state.nextSyncAt && now.monotonic - *state.digestsDifferSince >= state.parameters.syncDelay;
}

// The interval grows with the table, so that syncs cost the same however many members there are.
MonoTime::duration minIntervalToNextSync(const MembershipState &state)
{
    const double seconds
        = static_cast<double>(state.members.size()) * typicalSyncRecordBytes / state.parameters.syncBytesPerSecond;
    const auto byCost = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
    return std::max(byCost, state.parameters.minSyncInterval);
}

void requestRecords(MembershipState &state, const InstanceId &cursor, const ClockReading &now, MembershipOutput &output)
{
    const auto it = state.members.find(state.syncSession->peer);
    if (it == state.members.end()) {
        state.syncSession.reset();
        return;
    }
    state.syncSession->sequenceNumber = ++state.lastSequenceNumber;
    state.syncSession->deadline = now.monotonic + state.parameters.syncTimeout;
    MembershipMessage request = makeMessage(state, MessageKind::SyncRequest);
    request.sequenceNumber = state.syncSession->sequenceNumber;
    request.cursor = cursor;
    output.messages.push_back({addressOf(it->first, it->second), std::move(request)});
}

// A table may be older than a refutation that has not come through, so it never declares a member dead that is held
// for alive. Whoever holds it for dead probes it, and it refutes or stays silent.
void applySyncedRecord(
    MembershipState &state, const MemberUpdate &update, const ClockReading &now, MembershipOutput &output)
{
    const auto it = state.members.find(update.id);
    const bool isKnown = it != state.members.end();
    const MemberRecord &heard = update.record;
    if (isKnown && heard.status == MemberStatus::Dead && !isDead(it->second)
        && heard.incarnation == it->second.record.incarnation) {
        return;
    }
    const bool isHeldAlive = heard.status != MemberStatus::Dead;
    if (isKnown && isHeldAlive && isDead(it->second) && heard.incarnation == it->second.record.incarnation
        && state.recheckQueue.size() < maxRecheckQueueLength) {
        state.recheckQueue.push_back(update.id);
    }
    MemberRecord record = heard;
    // Suspicions travel by gossip, where their refutation follows them.
    if (record.status == MemberStatus::Suspect) {
        record.status = MemberStatus::Alive;
    }
    applyMemberRecord(state, update.id, record, now, "sync", output);
}

} // namespace

void compareDigests(MembershipState &state, const InstanceId &from, const MembershipMessage &message,
    const ClockReading &now, MembershipOutput &output)
{
    if (message.memberDigest == memberDigest(state)) {
        state.digestsDifferSince.reset();
        return;
    }
    if (!state.digestsDifferSince) {
        state.digestsDifferSince = now.monotonic;
    }
    if (isSyncDue(state, now)) {
        state.syncSession = SyncSession{0, from, {}};
        requestRecords(state, InstanceId(), now, output);
    }
}

void handleSyncRequest(
    MembershipState &state, const InstanceId &from, const MembershipMessage &request, MembershipOutput &output)
{
    const auto requester = state.members.find(from);
    if (requester == state.members.end()) {
        return;
    }
    MembershipMessage reply = makeMessage(state, MessageKind::SyncReply);
    reply.sequenceNumber = request.sequenceNumber;
    std::size_t bytes = 0;
    auto it = state.members.upper_bound(request.cursor);
    for (; it != state.members.end(); ++it) {
        const auto &[id, member] = *it;
        if (member.record.incarnation == Incarnation() || id == from) {
            continue;
        }
        bytes += fixedSyncRecordBytes + id.value().size() + member.record.peerAddress.size();
        if (bytes > state.parameters.maxSyncBytes) {
            break;
        }
        reply.memberUpdates.push_back({id, member.record});
    }
    if (it != state.members.end() && !reply.memberUpdates.empty()) {
        reply.cursor = reply.memberUpdates.back().id;
    }
    output.messages.push_back({addressOf(from, requester->second), std::move(reply)});
}

void handleSyncReply(MembershipState &state, const InstanceId &from, const MembershipMessage &reply,
    const ClockReading &now, MembershipOutput &output)
{
    if (!state.syncSession || state.syncSession->peer != from
        || state.syncSession->sequenceNumber != reply.sequenceNumber) {
        return;
    }
    for (const MemberUpdate &update : reply.memberUpdates) {
        applySyncedRecord(state, update, now, output);
    }
    if (!reply.cursor.isEmpty()) {
        requestRecords(state, reply.cursor, now, output);
        return;
    }
    state.syncSession.reset();
    state.digestsDifferSince.reset();
    state.isJoining = false;
    state.nextSyncAt = now.monotonic + minIntervalToNextSync(state);
}

void expireSync(MembershipState &state, const ClockReading &now)
{
    if (state.syncSession && now.monotonic >= state.syncSession->deadline) {
        state.syncSession.reset();
    }
}

} // namespace magnolia::membership
