// Changes to members, shared values and upstream reports, with the resulting updates and events.
#pragma once

#include "membership/types/clockreading.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"
#include "membership/types/sharedupdate.h"
#include "membership/types/upstreamupdate.h"

#include <string_view>

namespace magnolia::membership
{

[[nodiscard]] bool isDead(const Member &member);
[[nodiscard]] PeerState peerState(const Member &member);
/** Number of members that are not dead, including this instance. */
[[nodiscard]] std::size_t liveMemberCount(const MembershipState &state);
[[nodiscard]] peerlink::PeerAddress addressOf(const InstanceId &id, const Member &member);

/** Queues the record for gossip, and resets its send count. */
void enqueueUpdate(MembershipState &state, UpdateKind kind, const std::string &id);

/** Replaces a member's record, queues it for gossip, and starts a suspicion or reports a state change if needed. */
void setRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record, const ClockReading &now,
    std::string_view reason, MembershipOutput &output);

/** Merges a received record of any member, including this instance. */
void applyMemberRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record,
    const ClockReading &now, std::string_view reason, MembershipOutput &output);

void applySharedUpdate(MembershipState &state, const SharedUpdate &update, MembershipOutput &output);
void applyUpstreamUpdate(
    MembershipState &state, const UpstreamUpdate &update, const ClockReading &now, MembershipOutput &output);

/** Removes unlisted members that have been dead for some time, and expired upstream reports. */
void removeExpired(MembershipState &state, const ClockReading &now, MembershipOutput &output);

} // namespace magnolia::membership
