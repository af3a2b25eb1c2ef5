// The time of the monotonic clock and of the wall clock at one instant.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::membership
{

struct ClockReading
{
    MonoTime monotonic{};
    WallTime wall{};
};

} // namespace magnolia::membership
