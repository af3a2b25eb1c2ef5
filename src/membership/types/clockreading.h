// One point in time by both clocks.
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
