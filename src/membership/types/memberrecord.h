// What is known of one member; two records of the same member are merged by `mergeRecord`.
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
    /** Start of the member's process; zero: listed, and never heard of. */
    Incarnation incarnation;
    /** Raised by the member itself when it learns that it is suspected (SWIM's incarnation number). */
    std::uint32_t refutationNumber = 0;
    MemberStatus status = MemberStatus::Alive;
    /** Invariant: within one incarnation it never goes back to false. */
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
