// A random order of members for round-robin selection: each member is selected once per round.
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
