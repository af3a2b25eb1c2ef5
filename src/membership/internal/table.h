// Changes to the table of members, shared values and upstream reports, with the updates and events they cause.
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
/** Members that are not dead, this instance among them. */
[[nodiscard]] std::size_t liveMemberCount(const MembershipState &state);
[[nodiscard]] peerlink::PeerAddress addressOf(const InstanceId &id, const Member &member);

/** Passes the record on from now on, as if it had never been sent. */
void enqueueUpdate(MembershipState &state, UpdateKind kind, const std::string &id);

/** Replaces a member's record, and does what follows from it. */
void setRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record, const ClockReading &now,
    std::string_view reason, MembershipOutput &output);

/** Merges a statement about any member, also about this instance. */
void applyMemberRecord(MembershipState &state, const InstanceId &id, const MemberRecord &record,
    const ClockReading &now, std::string_view reason, MembershipOutput &output);

void applySharedUpdate(MembershipState &state, const SharedUpdate &update, MembershipOutput &output);
void applyUpstreamUpdate(
    MembershipState &state, const UpstreamUpdate &update, const ClockReading &now, MembershipOutput &output);

/** Drops dead members that no list names, and reports on upstreams that are too old. */
void removeExpired(MembershipState &state, const ClockReading &now, MembershipOutput &output);

} // namespace magnolia::membership
