// The membership protocol as a pure state machine: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with the extensions in docs/design/membership.md.
// It uses no socket, thread, clock or random device: the caller passes in messages, the time and a seeded generator,
// and sends the returned messages.
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

/** `incarnation` must be higher than at any earlier start; use the wall clock at start, in milliseconds. */
[[nodiscard]] MembershipState makeMembershipState(const MembershipParameters &parameters, const InstanceId &self,
    Incarnation incarnation, const std::string &peerAddress);

/** Handles a message; the caller has authenticated `from` as its sender. */
[[nodiscard]] MembershipOutput step(
    MembershipState &state, const InstanceId &from, const MembershipMessage &message, const ClockReading &now);

/** Runs the due timers; must be called several times within each interval in the parameters. */
[[nodiscard]] MembershipOutput tick(MembershipState &state, const ClockReading &now, Random &random);

/** Applies a list read from the platform; a list with a lower revision than the last one is ignored. */
[[nodiscard]] MembershipOutput applyPublishedList(
    MembershipState &state, const PublishedList &list, const ClockReading &now);

/** Tells all members that this instance is leaving; this cannot be undone within the incarnation. */
void announceLeave(MembershipState &state);

/** Shares a value; ignored unless its version is above the known one. Returns false if a limit is exceeded. */
[[nodiscard]] bool shareValue(
    MembershipState &state, const std::string &key, std::uint64_t version, const std::string &value);

/** Shares an observation, made at `seenAt`, that an upstream is leaving or back. */
[[nodiscard]] MembershipOutput reportUpstream(
    MembershipState &state, const UpstreamId &upstream, bool isLeaving, const ClockReading &seenAt);

[[nodiscard]] MembershipView makeMembershipView(const MembershipState &state);

/** Whether the sizes and enumerators in a decoded message are within the limits. */
[[nodiscard]] bool isValid(const MembershipMessage &message, const MembershipParameters &parameters);

} // namespace magnolia::membership
