// Jittered retry delays.
#include "limits/backoff.h"

#include "catalogue/callerbehaviour.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

constexpr Milliseconds minRetryAfter{100};
constexpr std::uint64_t jitterDivisor = 2;
/** Part of the time that callers honour which is not needed for the way to the caller. */
constexpr double honouredPart = 0.9;
/** Least time that an outage which goes on is expected to last. */
constexpr Milliseconds minExpectedOutage{300};
/** Callers that are refused together come back over this part of the delay. */
constexpr double spreadShare = 0.2;

} // namespace

Milliseconds jitteredRetryAfter(Milliseconds earliest, Random &random)
{
    const Milliseconds floor = std::max(earliest, minRetryAfter);
    const std::uint64_t jitterRange = static_cast<std::uint64_t>(floor.count()) / jitterDivisor + 1;
    return floor + Milliseconds(random.below(jitterRange));
}

Milliseconds outageRetryAfter(Milliseconds lasted, Milliseconds timeLeft, Random &random)
{
    const double honoured = static_cast<double>(std::max(Milliseconds(0), timeLeft).count())
        * catalogue::honouredRetryAfterShare * honouredPart;
    const double expected = static_cast<double>(std::max(minExpectedOutage, lasted).count());
    return Milliseconds(static_cast<std::int64_t>(std::min(honoured, expected) * (1 - spreadShare * random.unit())));
}

} // namespace magnolia::limits
