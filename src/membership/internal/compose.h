// Composes messages from the sender's record, digests, and as many pending updates as the size limit allows.
#pragma once

#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"

#include <cstdint>

namespace magnolia::membership
{

[[nodiscard]] std::uint64_t memberDigest(const MembershipState &state);
[[nodiscard]] std::uint64_t sharedDigest(const MembershipState &state);
/** Number of times this instance sends one update. */
[[nodiscard]] std::uint32_t retransmitLimit(const MembershipState &state);

/** Returns a message with the sender's record and digests, but without updates. */
[[nodiscard]] MembershipMessage makeMessage(const MembershipState &state, MessageKind kind);

/** Queues a message in `output`, with pending updates and the recipient's record if the recipient has to refute it. */
void sendWithUpdates(
    MembershipState &state, const peerlink::PeerAddress &to, MembershipMessage message, MembershipOutput &output);

/** Adds the shared values and upstream reports that fit; the next call continues after the last report added. */
void addSharedStateUpdates(MembershipState &state, MembershipMessage &message);

} // namespace magnolia::membership
