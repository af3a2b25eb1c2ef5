// Metadata and payload of a message between instances, all of which is authenticated.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "peerlink/types/messagetype.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace magnolia::peerlink
{

struct Envelope
{
    MessageType type = MessageType::Membership;
    InstanceId sender;
    Incarnation senderIncarnation;
    InstanceId recipient;
    /** Invariant: unique within one incarnation of the sender, and increasing. */
    std::uint64_t sequence = 0;
    /** Sequence number of the request that this message answers; zero if it is not an answer. */
    std::uint64_t inReplyTo = 0;
    /** Sender's wall clock, in milliseconds since the epoch. */
    std::int64_t sentAtMs = 0;
    /** Result code of an answer; zero for success. */
    std::uint16_t resultCode = 0;
    std::string payload;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(type, sender, senderIncarnation, recipient, sequence, inReplyTo, sentAtMs, resultCode, payload);
    }
};

} // namespace magnolia::peerlink
