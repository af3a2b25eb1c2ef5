// Anti-entropy: a member whose digest differs from that of a peer for some time requests the peer's records in batches.
#pragma once

#include "membership/types/clockreading.h"
#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"

namespace magnolia::membership
{

/** Compares the member digest of a message after its updates were merged, and starts a sync if one is due. */
void compareDigests(MembershipState &state, const InstanceId &from, const MembershipMessage &message,
    const ClockReading &now, MembershipOutput &output);

void handleSyncRequest(
    MembershipState &state, const InstanceId &from, const MembershipMessage &request, MembershipOutput &output);

void handleSyncReply(MembershipState &state, const InstanceId &from, const MembershipMessage &reply,
    const ClockReading &now, MembershipOutput &output);

/** Aborts a sync whose reply is overdue. */
void expireSync(MembershipState &state, const ClockReading &now);

} // namespace magnolia::membership
