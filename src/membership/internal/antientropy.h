// Anti-entropy: members whose digests differ for some time read each other's tables, some records in each message.
#pragma once

#include "membership/types/clockreading.h"
#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"

namespace magnolia::membership
{

/** Looks at the digests of a message whose updates were merged, and begins a sync where it is due. */
void compareDigests(MembershipState &state, const InstanceId &from, const MembershipMessage &message,
    const ClockReading &now, MembershipOutput &output);

void handleSyncRequest(
    MembershipState &state, const InstanceId &from, const MembershipMessage &request, MembershipOutput &output);

void handleSyncReply(MembershipState &state, const InstanceId &from, const MembershipMessage &reply,
    const ClockReading &now, MembershipOutput &output);

/** Gives up a sync that is not answered. */
void expireSync(MembershipState &state, const ClockReading &now);

} // namespace magnolia::membership
