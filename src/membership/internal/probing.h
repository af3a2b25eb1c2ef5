// Probes of live, suspected and dead members, and the suspicions that follow from silence.
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

/** Moves the probe under way on, and begins the next one where it is due. */
void tickProbe(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);
/** Probes suspected members again, and declares those dead that did not refute in time. */
void tickSuspicions(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);
/** Probes a dead member that is listed, or several where no live one is known. */
void tickDeadProbes(MembershipState &state, const ClockReading &now, Random &random, MembershipOutput &output);

/** A dead member has answered, so a partition may have healed: probes all other dead ones soon. */
void scheduleRecheckOfAllDead(MembershipState &state);

/** After a pause of this process: what was awaited is asked for again, before anyone is declared dead. */
void resetAfterPause(MembershipState &state, const ClockReading &now);

} // namespace magnolia::membership
