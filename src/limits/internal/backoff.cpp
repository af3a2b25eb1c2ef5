// Jittered retry delays.
#include "limits/backoff.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

constexpr Milliseconds minRetryAfter{100};
constexpr std::uint64_t jitterDivisor = 2;

} // namespace

Milliseconds jitteredRetryAfter(Milliseconds earliest, Random &random)
{
    const Milliseconds floor = std::max(earliest, minRetryAfter);
    const std::uint64_t jitterRange = static_cast<std::uint64_t>(floor.count()) / jitterDivisor + 1;
    return floor + Milliseconds(random.below(jitterRange));
}

} // namespace magnolia::limits
