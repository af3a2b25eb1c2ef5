// Intervals between reads of the platform's instance list.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::configuration
{

struct InstanceListParameters
{
    /** Mean time between two reads. Each interval varies by up to a quarter in either direction. */
    Milliseconds interval{1'000};
    /** Upper bound of the mean time between two reads while they fail. */
    Milliseconds maxBackoff{4'000};
};

} // namespace magnolia::configuration
