// Composing of messages: the sender's own record, digests, and as many pending updates as the size bound allows.
#pragma once

#include "membership/types/membershipmessage.h"
#include "membership/types/membershipoutput.h"
#include "membership/types/membershipstate.h"

#include <cstdint>

namespace magnolia::membership
{

[[nodiscard]] std::uint64_t memberDigest(const MembershipState &state);
[[nodiscard]] std::uint64_t sharedDigest(const MembershipState &state);
/** How often one update is sent by this instance. */
[[nodiscard]] std::uint32_t retransmitLimit(const MembershipState &state);

/** A message with the sender's record and digests, and no updates. */
[[nodiscard]] MembershipMessage makeMessage(const MembershipState &state, MessageKind kind);

/** Adds a message to `output` with what the recipient must hear of itself, and with pending updates. */
void sendWithUpdates(
    MembershipState &state, const peerlink::PeerAddress &to, MembershipMessage message, MembershipOutput &output);

/** Adds all shared values and the reports on upstreams that fit; the next call goes on where this one ended. */
void addSharedStateUpdates(MembershipState &state, MembershipMessage &message);

} // namespace magnolia::membership
