// The whole state of the membership protocol at one instance.
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

/** Names a record that is still to be passed on; the record itself is read when a message is composed. */
struct UpdateKey
{
    UpdateKind kind = UpdateKind::Member;
    std::string id;

    // clang-tidy 14 takes the compiler's own comparison with zero for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const UpdateKey &, const UpdateKey &) = default;
};

/** The probe under way. */
struct Probe
{
    std::uint64_t sequenceNumber = 0;
    InstanceId target;
    MonoTime startedAt{};
    bool isIndirect = false;
};

/** A probe made for another member. */
struct RelayedProbe
{
    InstanceId requester;
    std::string requesterAddress;
    std::uint64_t requesterSequenceNumber = 0;
    InstanceId target;
    MonoTime expiresAt{};
};

/** The pulling of another member's records, some in each message. */
struct SyncSession
{
    std::uint64_t sequenceNumber = 0;
    InstanceId peer;
    MonoTime deadline{};
};

struct UpstreamReportEntry
{
    UpstreamReport report;
    /** When this instance first held it for leaving. */
    MonoTime leavingSince{};
};

struct MembershipState
{
    MembershipParameters parameters;
    InstanceId selfId;
    MemberRecord selfRecord;

    // Invariant: never contains `self`; never above parameters.maxMembers.
    std::map<InstanceId, Member> members;
    // Invariant: versions only grow.
    std::map<std::string, SharedValue> sharedValues;
    std::map<UpstreamId, UpstreamReportEntry> upstreamReports;
    // Where the last message with shared state ended in `upstreams`.
    UpstreamId lastSentUpstream;
    std::uint64_t listRevision = 0;

    // How often each update was sent. Invariant: below the retransmit limit.
    std::map<UpdateKey, std::uint32_t> pendingUpdates;
    MessageRateLimiter gossipRateLimiter;
    MessageRateLimiter reprobeRateLimiter;

    // Rounds of probing and of gossip; members that died since a round began are skipped.
    MemberOrder probeOrder;
    MemberOrder gossipOrder;
    std::optional<Probe> currentProbe;
    std::uint64_t lastSequenceNumber = 0;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    // Dead members that somebody holds for alive: probed before other dead ones.
    std::deque<InstanceId> recheckQueue;

    std::optional<SyncSession> syncSession;
    std::optional<MonoTime> digestsDifferSince;
    bool isJoining = true;

    // Unset until the first tick.
    std::optional<MonoTime> lastTickAt;
    MonoTime nextProbeAt{};
    MonoTime nextGossipAt{};
    MonoTime nextDeadProbeAt{};
    MonoTime nextJoinProbeAt{};
    MonoTime nextSyncAt{};
};

} // namespace magnolia::membership
