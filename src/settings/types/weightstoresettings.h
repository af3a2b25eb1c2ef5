// The weight store's rate limit.
#pragma once

#include <cstdint>

namespace magnolia::settings
{

struct WeightStoreSettings
{
    /** Limit for all instances together; each uses its share. */
    std::uint32_t requestsPerMinute = 60;
};

} // namespace magnolia::settings
