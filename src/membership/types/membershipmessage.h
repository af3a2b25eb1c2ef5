// The only message type of the membership protocol. The authenticated envelope around it names the sender.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/memberrecord.h"
#include "membership/types/memberupdate.h"
#include "membership/types/sharedupdate.h"
#include "membership/types/upstreamupdate.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::membership
{

enum class MessageKind : std::uint8_t {
    Ping = 1,
    Ack = 2,
    /** Asks the recipient to probe `target` and to forward the ack. */
    PingRequest = 3,
    /** Carries updates only. */
    Gossip = 4,
    /** Requests the records after `cursor` in id order. */
    SyncRequest = 5,
    /** Records in id order; `cursor` is empty in the last reply. */
    SyncReply = 6,
};

struct MembershipMessage
{
    MessageKind kind = MessageKind::Ping;
    /** Identifies a probe or a sync request among those of its initiator; the answer repeats it. */
    std::uint64_t sequenceNumber = 0;
    /** In a PingRequest the member to probe, in an Ack the member that answered. */
    InstanceId target;
    std::string targetAddress;
    InstanceId cursor;
    MemberRecord senderRecord;
    /** Digest of the records of all members that the sender does not consider dead. */
    std::uint64_t memberDigest = 0;
    /** Digest of all shared values and upstream reports that the sender holds. */
    std::uint64_t sharedDigest = 0;
    std::vector<MemberUpdate> memberUpdates;
    std::vector<SharedUpdate> sharedUpdates;
    std::vector<UpstreamUpdate> upstreamUpdates;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(kind, sequenceNumber, target, targetAddress, cursor, senderRecord, memberDigest, sharedDigest,
            memberUpdates, sharedUpdates, upstreamUpdates);
    }
};

} // namespace magnolia::membership
