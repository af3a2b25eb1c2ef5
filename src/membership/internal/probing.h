// Probes of live, suspected and dead members, and suspicions after unanswered probes.
#pragma once

#include "framework/global/random.h"
#include "membership/types/clockreading.h"
#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"

namespace magnolia::membership
{

void handleAck(MembershipState &state, const InstanceId &from, const MembershipMessage &ack, MembershipOutput &output);
void handlePingRequest(MembershipState &state, const InstanceId &from, const MembershipMessage &request,
    const ClockReading &now, MembershipOutput &output);

/** Advances the running probe, and starts the next one if it is due. */
void tickProbe(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);
/** Reprobes suspected members, and declares those dead that did not refute the suspicion in time. */
void tickSuspicions(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);
/** Probes one listed dead member, or several if no live member is known. */
void tickDeadProbes(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);

/** Queues all listed dead members for probing, for use when a dead member answers and a partition may have healed. */
void scheduleRecheckOfAllDead(MembershipState &state);

/** Restarts probes and suspicions after a pause of this process, so that no expired timer declares a member dead. */
void resetAfterPause(MembershipState &state, const ClockReading &now);

} // namespace magnolia::membership
