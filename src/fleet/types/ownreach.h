// What an instance knows of itself when it answers the directory.
#pragma once

namespace magnolia::fleet
{

struct OwnReach
{
    /** Whether this instance belongs to the answer: it is ready, and allowed where the answer is restricted. */
    bool isNamed = true;
    bool areUpstreamsReached = true;
    bool isStoreReached = true;
};

} // namespace magnolia::fleet
