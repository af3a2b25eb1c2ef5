// How the end of an attempt changes what is believed of an upstream.
#include "entry/upstreamhealthrules.h"

#include <algorithm>

namespace magnolia::entry
{

namespace
{

constexpr std::uint32_t maxDoublings = 5;

UpstreamHealth afterFailure(UpstreamHealth health, MonoTime now)
{
    const Milliseconds avoidance = firstAvoidance * (1U << std::min(health.consecutiveFailures, maxDoublings));
    ++health.consecutiveFailures;
    health.avoidUntil = now + std::min(avoidance, longestAvoidance);
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
    // These say nothing about whether the upstream can be reached.
    case AttemptEnd::CallerGone:
    case AttemptEnd::DeadlinePassed:
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
