// The membership protocol as a pure state machine: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with what docs/design/membership.md adds.
// No socket, thread, clock or random device; feed it messages, time and a seeded generator, and send what it returns.
#pragma once

#include "blackboard/types/membershipview.h"
#include "blackboard/types/publishedlist.h"
#include "framework/global/random.h"
#include "framework/global/types/ids.h"
#include "membership/types/clockreading.h"
#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipparameters.h"
#include "membership/types/membershipstate.h"

#include <cstdint>
#include <string>

namespace magnolia::membership
{

/** `incarnation` must be higher than of any earlier start: the wall clock at start, in milliseconds. */
[[nodiscard]] MembershipState makeMembershipState(const MembershipParameters &parameters, const InstanceId &self,
    Incarnation incarnation, const std::string &peerAddress);

/** Handles a message that authentically came from `from`. */
[[nodiscard]] MembershipOutput step(
    MembershipState &state, const InstanceId &from, const MembershipMessage &message, const ClockReading &now);

/** Does what is due; to be called several times within each of the parameters' intervals. */
[[nodiscard]] MembershipOutput tick(MembershipState &state, const ClockReading &now, Random &random);

/** Takes over a list read from the platform; one of a lower revision than the last is ignored. */
[[nodiscard]] MembershipOutput applyPublishedList(
    MembershipState &state, const PublishedList &list, const ClockReading &now);

/** Tells all members that this instance is leaving; it cannot be taken back within this incarnation. */
void announceLeave(MembershipState &state);

/** Shares a value; ignored unless its version is above the known one. False where a limit refuses it. */
[[nodiscard]] bool shareValue(
    MembershipState &state, const std::string &key, std::uint64_t version, const std::string &value);

/** Shares that an upstream was seen leaving, or seen back, at `seenAt`. */
[[nodiscard]] MembershipOutput reportUpstream(
    MembershipState &state, const UpstreamId &upstream, bool isLeaving, const ClockReading &seenAt);

[[nodiscard]] MembershipView makeMembershipView(const MembershipState &state);

/** Whether sizes and enumerators of a decoded message are within the limits. */
[[nodiscard]] bool isValid(const MembershipMessage &message, const MembershipParameters &parameters);

} // namespace magnolia::membership
