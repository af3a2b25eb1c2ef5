// A group of engines that hold one prompt together, and the memory that each of them reserves.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <string>
#include <vector>

namespace magnolia::kvmemory
{

struct GroupMember
{
    UpstreamId upstream;
    /** Address `ip:port`. */
    std::string address;

    friend bool operator==(const GroupMember &, const GroupMember &) = default;
};

struct GroupPlan
{
    /** Id of the reservation, the same at each member. */
    std::string id;
    /** `<instance>/<incarnation>` of the entry that reserves. */
    std::string owner;
    std::vector<GroupMember> members;
    Tokens tokensPerMember;
    /** Time after which an engine releases the reservation itself; ends later than the request that uses it. */
    Milliseconds timeToLive{0};
};

} // namespace magnolia::kvmemory
