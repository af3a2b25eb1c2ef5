// Composes messages of limited size. The least often sent updates go first, as in SWIM, section 4.1.
#include "membership/internal/compose.h"

#include "framework/global/hashing.h"
#include "membership/internal/table.h"

#include <algorithm>
#include <cmath>

namespace magnolia::membership
{
namespace
{

/** Bytes of a string's length field and of the fixed-size fields of records in cereal's portable binary format. */
constexpr std::size_t stringSizeBytes = 8;
constexpr std::size_t memberFixedBytes = 2 * stringSizeBytes + 8 + 4 + 1 + 1;
constexpr std::size_t sharedFixedBytes = 2 * stringSizeBytes + 8;
constexpr std::size_t upstreamFixedBytes = stringSizeBytes + 1 + 8;

std::uint64_t hashRecord(const InstanceId &id, const MemberRecord &record)
{
    const std::uint64_t version
        = record.incarnation.count() * 4 + record.refutationNumber * 2ULL + (record.isLeaving ? 1 : 0);
    return stableHash(id.value(), version);
}

/** A message and the number of bytes that may still be added to it. */
struct MessageDraft
{
    MembershipMessage &message;
    std::size_t bytesLeft;
};

bool reserveBytes(MessageDraft &draft, std::size_t bytes)
{
    if (bytes > draft.bytesLeft) {
        return false;
    }
    draft.bytesLeft -= bytes;
    return true;
}

bool addMember(MessageDraft &draft, const InstanceId &id, const MemberRecord &record)
{
    if (!reserveBytes(draft, memberFixedBytes + id.value().size() + record.peerAddress.size())) {
        return false;
    }
    draft.message.memberUpdates.push_back({id, record});
    return true;
}

bool addShared(MessageDraft &draft, const std::string &key, const SharedValue &value)
{
    if (!reserveBytes(draft, sharedFixedBytes + key.size() + value.value.size())) {
        return false;
    }
    draft.message.sharedUpdates.push_back({key, value});
    return true;
}

bool addUpstream(MessageDraft &draft, const UpstreamId &id, const UpstreamReport &report)
{
    if (!reserveBytes(draft, upstreamFixedBytes + id.value().size())) {
        return false;
    }
    draft.message.upstreamUpdates.push_back({id, report});
    return true;
}

bool addMemberUpdate(const MembershipState &state, const std::string &id, MessageDraft &draft)
{
    const InstanceId instance(id);
    if (instance == state.selfId) {
        return true; // Every message carries the sender's record.
    }
    const auto it = state.members.find(instance);
    return it == state.members.end() || addMember(draft, instance, it->second.record);
}

// Also returns true if the record no longer exists: the update then counts as sent.
bool addUpdate(const MembershipState &state, const UpdateKey &key, MessageDraft &draft)
{
    switch (key.kind) {
    case UpdateKind::Member:
        return addMemberUpdate(state, key.id, draft);
    case UpdateKind::Shared: {
        const auto it = state.sharedValues.find(key.id);
        return it == state.sharedValues.end() || addShared(draft, key.id, it->second);
    }
    case UpdateKind::Upstream: {
        const auto it = state.upstreamReports.find(UpstreamId(key.id));
        return it == state.upstreamReports.end() || addUpstream(draft, it->first, it->second.report);
    }
    }
    return true;
}

std::vector<UpdateKey> updatesBySendCount(const MembershipState &state)
{
    std::vector<std::pair<std::uint32_t, const UpdateKey *>> order;
    order.reserve(state.pendingUpdates.size());
    for (const auto &[key, sendCount] : state.pendingUpdates) {
        order.emplace_back(sendCount, &key);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    std::vector<UpdateKey> keys;
    keys.reserve(order.size());
    for (const auto &[sendCount, key] : order) {
        keys.push_back(*key);
    }
    return keys;
}

void addPendingUpdates(MembershipState &state, MessageDraft &draft)
{
    const std::uint32_t limit = retransmitLimit(state);
    for (const UpdateKey &key : updatesBySendCount(state)) {
        if (!addUpdate(state, key, draft)) {
            return;
        }
        if (++state.pendingUpdates[key] >= limit) {
            state.pendingUpdates.erase(key);
        }
    }
}

// Tells a suspected or dead recipient about its status with the next message, so that it can refute immediately.
void addRecipientRecord(const MembershipState &state, const InstanceId &recipient, MessageDraft &draft)
{
    const auto it = state.members.find(recipient);
    if (it != state.members.end() && it->second.record.status != MemberStatus::Alive
        && it->second.record.incarnation != Incarnation()) {
        addMember(draft, recipient, it->second.record);
    }
}

} // namespace

std::uint64_t memberDigest(const MembershipState &state)
{
    std::uint64_t digest = hashRecord(state.selfId, state.selfRecord);
    for (const auto &[id, member] : state.members) {
        if (!isDead(member)) {
            digest ^= hashRecord(id, member.record);
        }
    }
    return digest;
}

std::uint64_t sharedDigest(const MembershipState &state)
{
    std::uint64_t digest = 0;
    for (const auto &[key, value] : state.sharedValues) {
        digest ^= stableHash(key + '=' + value.value, value.version);
    }
    for (const auto &[id, known] : state.upstreamReports) {
        const auto seenAt = static_cast<std::uint64_t>(known.report.seenAtMs);
        digest ^= stableHash(id.value(), seenAt * 2 + (known.report.isLeaving ? 1 : 0));
    }
    return digest;
}

std::uint32_t retransmitLimit(const MembershipState &state)
{
    const double members = static_cast<double>(liveMemberCount(state));
    return state.parameters.retransmitLambda * static_cast<std::uint32_t>(std::ceil(std::log2(members + 1)));
}

MembershipMessage makeMessage(const MembershipState &state, MessageKind kind)
{
    MembershipMessage message;
    message.kind = kind;
    message.senderRecord = state.selfRecord;
    message.memberDigest = memberDigest(state);
    message.sharedDigest = sharedDigest(state);
    return message;
}

void sendWithUpdates(
    MembershipState &state, const peerlink::PeerAddress &to, MembershipMessage message, MembershipOutput &output)
{
    MessageDraft draft{message, state.parameters.maxUpdateBytes};
    addRecipientRecord(state, to.instance, draft);
    addPendingUpdates(state, draft);
    output.messages.push_back({to, std::move(message)});
}

void addSharedStateUpdates(MembershipState &state, MembershipMessage &message)
{
    MessageDraft draft{message, state.parameters.maxUpdateBytes};
    for (const auto &[key, value] : state.sharedValues) {
        addShared(draft, key, value);
    }
    auto it = state.upstreamReports.upper_bound(state.lastSentUpstream);
    for (std::size_t i = 0; i < state.upstreamReports.size(); ++i, ++it) {
        if (it == state.upstreamReports.end()) {
            it = state.upstreamReports.begin();
        }
        if (!addUpstream(draft, it->first, it->second.report)) {
            return;
        }
        state.lastSentUpstream = it->first;
    }
}

} // namespace magnolia::membership
