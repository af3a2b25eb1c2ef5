// Pace of reading the platform's list.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::configuration
{

struct InstanceListParameters
{
    /** Mean time between two readings; each is up to a quarter shorter or longer. */
    Milliseconds interval{1'000};
    /** Longest time between two readings while they fail. */
    Milliseconds maxBackoff{4'000};
};

} // namespace magnolia::configuration
