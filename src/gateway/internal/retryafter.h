// Value of the Retry-After field of refusals.
#pragma once

#include "framework/global/types/time.h"

#include <string>

namespace magnolia::gateway
{

/** Returns `delay` in seconds with three decimals, for example "1.050". Negative delays count as zero. */
[[nodiscard]] std::string writeRetryAfter(Milliseconds delay);

} // namespace magnolia::gateway
