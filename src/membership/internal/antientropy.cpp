// Anti-entropy sync with messages of limited size.
#include "membership/internal/antientropy.h"

#include "membership/internal/compose.h"
#include "membership/internal/table.h"

#include <algorithm>

namespace magnolia::membership
{
namespace
{

/** Size of one record in a sync with ids and addresses of usual length. */
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

// The interval grows with the number of members, which keeps the bandwidth of syncs constant.
MonoTime::duration minIntervalToNextSync(const MembershipState &state)
{
    const double seconds
        = static_cast<double>(state.members.size()) * typicalSyncRecordBytes / state.parameters.syncBytesPerSecond;
    const auto intervalForBandwidth = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
    return std::max(intervalForBandwidth, state.parameters.minSyncInterval);
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

// The peer's record may be older than a refutation that has not reached it yet, so a sync never declares a member dead
// that this instance considers alive. An instance that considers the member dead probes it, and the member either
// refutes or does not answer.
void applySyncedRecord(
    MembershipState &state, const MemberUpdate &update, const ClockReading &now, MembershipOutput &output)
{
    const auto it = state.members.find(update.id);
    const bool isKnown = it != state.members.end();
    const MemberRecord &received = update.record;
    if (isKnown && received.status == MemberStatus::Dead && !isDead(it->second)
        && received.incarnation == it->second.record.incarnation) {
        return;
    }
    const bool isReportedLive = received.status != MemberStatus::Dead;
    if (isKnown && isReportedLive && isDead(it->second) && received.incarnation == it->second.record.incarnation
        && state.recheckQueue.size() < maxRecheckQueueLength) {
        state.recheckQueue.push_back(update.id);
    }
    MemberRecord record = received;
    // Suspicions are spread by gossip only, so that their refutation follows on the same path.
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
