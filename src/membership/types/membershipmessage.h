// The one message of the membership protocol. Its sender is named by the authenticated envelope around it.
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
    /** Asks the recipient to probe `target` and to pass the ack on. */
    PingRequest = 3,
    /** Carries updates only. */
    Gossip = 4,
    /** Asks for the records that follow `cursor` in the order of ids. */
    SyncRequest = 5,
    /** Records in the order of ids; `cursor` is empty in the last one. */
    SyncReply = 6,
};

struct MembershipMessage
{
    MessageKind kind = MessageKind::Ping;
    /** Names a probe or a sync request among those of the instance that began it; an answer repeats it. */
    std::uint64_t sequenceNumber = 0;
    /** Of a PingRequest: whom to probe; of an Ack: who answered. */
    InstanceId target;
    std::string targetAddress;
    InstanceId cursor;
    /** The sender's own record. */
    MemberRecord senderRecord;
    /** Of all members that the sender holds for not dead. */
    std::uint64_t memberDigest = 0;
    /** Of all shared values and reports on upstreams that the sender holds. */
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
