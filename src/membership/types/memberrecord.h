// The replicated state of one member; `mergeRecord` merges two records of the same member.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/memberstatus.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace magnolia::membership
{

struct MemberRecord
{
    /** Identifies one start of the member's process; zero if the member is listed but no record of it was received. */
    Incarnation incarnation;
    /** Raised by the member itself when it learns that it is suspected or declared dead (SWIM's incarnation number). */
    std::uint32_t refutationNumber = 0;
    MemberStatus status = MemberStatus::Alive;
    /** Invariant: within one incarnation it never changes back to false. */
    bool isLeaving = false;
    /** `ip:port` of the member's peer listener. */
    std::string peerAddress;

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(incarnation, refutationNumber, status, isLeaving, peerAddress);
    }
};

} // namespace magnolia::membership
