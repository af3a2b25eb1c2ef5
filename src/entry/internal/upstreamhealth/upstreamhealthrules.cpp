// Derives the health of an upstream from the end of an attempt.
#include "entry/upstreamhealthrules.h"

#include <algorithm>

namespace magnolia::entry
{

namespace
{

constexpr std::uint32_t maxDoublings = 5;

UpstreamHealth afterFailure(UpstreamHealth health, MonoTime now)
{
    const Milliseconds avoidance = initialAvoidance * (1U << std::min(health.consecutiveFailures, maxDoublings));
    ++health.consecutiveFailures;
    health.avoidUntil = now + std::min(avoidance, maxAvoidance);
    return health;
}

} // namespace

UpstreamHealth healthAfter(const UpstreamHealth &before, AttemptEnd end, MonoTime now)
{
    UpstreamHealth health = before;
    switch (end) {
    case AttemptEnd::Whole:
    case AttemptEnd::Rejected:
        health.consecutiveFailures = 0;
        health.avoidUntil = {};
        return health;
    case AttemptEnd::Leaving:
        health.isLeaving = true;
        return health;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::Silent:
    case AttemptEnd::Broken:
        return afterFailure(health, now);
    // These do not tell whether the upstream is reachable.
    case AttemptEnd::CallerGone:
    case AttemptEnd::DeadlinePassed:
    case AttemptEnd::ProcessEnding:
    case AttemptEnd::Forbidden:
    case AttemptEnd::Refused:
    case AttemptEnd::StreamUnknown:
    case AttemptEnd::WrongAnswer:
    case AttemptEnd::Gap:
        return health;
    }
    return health;
}

} // namespace magnolia::entry
