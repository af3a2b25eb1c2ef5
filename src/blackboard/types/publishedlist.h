// The platform's list of live and leaving instances, as last read. It may be out of date.
#pragma once

#include "blackboard/types/publishedinstance.h"
#include "framework/global/types/time.h"

#include <cstdint>
#include <vector>

namespace magnolia
{

struct PublishedList
{
    /** Increases with each change of the list; zero until the list is first read. */
    std::uint64_t revision = 0;
    /** Time on the platform's clock at which this list was generated; advances even if the list is unchanged. */
    WallTime generatedAt{};
    /** Time at which this instance read the list. */
    MonoTime readAt{};
    /** Sorted by ascending id. */
    std::vector<PublishedInstance> instances;
};

} // namespace magnolia
