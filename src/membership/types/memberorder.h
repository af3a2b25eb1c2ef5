// A random order of members that is gone through round by round, so that each is reached once in each round.
#pragma once

#include "framework/global/types/ids.h"

#include <cstddef>
#include <vector>

namespace magnolia::membership
{

struct MemberOrder
{
    std::vector<InstanceId> ids;
    std::size_t nextIndex = 0;
};

} // namespace magnolia::membership
