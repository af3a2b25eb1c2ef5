// Formats the value of the Retry-After field.
#include "gateway/internal/retryafter.h"

#include <algorithm>

namespace magnolia::gateway
{

std::string writeRetryAfter(Milliseconds delay)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t milliseconds = std::max<std::int64_t>(0, delay.count());
    std::string fraction = std::to_string(milliseconds % millisecondsPerSecond);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(milliseconds / millisecondsPerSecond) + '.' + fraction;
}

} // namespace magnolia::gateway
