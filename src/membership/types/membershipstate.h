// The complete state of the membership protocol on one instance.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "membership/types/member.h"
#include "membership/types/memberorder.h"
#include "membership/types/membershipparameters.h"
#include "membership/types/messageratelimiter.h"
#include "membership/types/sharedvalue.h"
#include "membership/types/upstreamreport.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace magnolia::membership
{

enum class UpdateKind : std::uint8_t {
    Member,
    Shared,
    Upstream,
};

/** Identifies a record that is queued for gossip; the record itself is read when a message is composed. */
struct UpdateKey
{
    UpdateKind kind = UpdateKind::Member;
    std::string id;

    // clang-tidy 14 reports the comparison with zero in the generated operator as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const UpdateKey &, const UpdateKey &) = default;
};

/** The running probe of this instance. */
struct Probe
{
    std::uint64_t sequenceNumber = 0;
    InstanceId target;
    MonoTime startedAt{};
    bool isIndirect = false;
};

/** An indirect probe made on behalf of another member. */
struct RelayedProbe
{
    InstanceId requester;
    std::string requesterAddress;
    std::uint64_t requesterSequenceNumber = 0;
    InstanceId target;
    MonoTime expiresAt{};
};

/** A running request for the records of a peer, which arrive in several messages. */
struct SyncSession
{
    std::uint64_t sequenceNumber = 0;
    InstanceId peer;
    MonoTime deadline{};
};

struct UpstreamReportEntry
{
    UpstreamReport report;
    /** When this instance first considered the upstream as leaving. */
    MonoTime leavingSince{};
};

struct MembershipState
{
    MembershipParameters parameters;
    InstanceId selfId;
    MemberRecord selfRecord;

    // Invariant: does not contain `selfId`; at most parameters.maxMembers entries.
    std::map<InstanceId, Member> members;
    // Invariant: versions never decrease.
    std::map<std::string, SharedValue> sharedValues;
    std::map<UpstreamId, UpstreamReportEntry> upstreamReports;
    // The last upstream report that was sent as part of the shared state; the next message continues after it.
    UpstreamId lastSentUpstream;
    std::uint64_t listRevision = 0;

    // Number of times each update was sent. Invariant: below the retransmit limit.
    std::map<UpdateKey, std::uint32_t> pendingUpdates;
    MessageRateLimiter gossipRateLimiter;
    MessageRateLimiter reprobeRateLimiter;

    // Members that died since the start of a round are skipped.
    MemberOrder probeOrder;
    MemberOrder gossipOrder;
    std::optional<Probe> currentProbe;
    std::uint64_t lastSequenceNumber = 0;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    // Dead members to probe before others: a peer considers them alive, or a partition may have healed.
    std::deque<InstanceId> recheckQueue;

    std::optional<SyncSession> syncSession;
    std::optional<MonoTime> digestsDifferSince;
    bool isJoining = true;

    // Unset before the first tick.
    std::optional<MonoTime> lastTickAt;
    MonoTime nextProbeAt{};
    MonoTime nextGossipAt{};
    MonoTime nextDeadProbeAt{};
    MonoTime nextJoinProbeAt{};
    MonoTime nextSyncAt{};
};

} // namespace magnolia::membership
