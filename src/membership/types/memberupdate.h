// A member's record in a message.
#pragma once

#include "framework/global/types/ids.h"
#include "membership/types/memberrecord.h"

namespace magnolia::membership
{

struct MemberUpdate
{
    InstanceId id;
    MemberRecord record;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, record);
    }
};

} // namespace magnolia::membership
