// Derives the health of an upstream from the end of an attempt.
#pragma once

#include "blackboard/types/upstreamhealth.h"
#include "entry/types/attemptend.h"

namespace magnolia::entry
{

/** Time for which an upstream is avoided after the first failure; doubles with each consecutive failure. */
constexpr Milliseconds initialAvoidance{250};
constexpr Milliseconds maxAvoidance{8000};

/** Returns the health after an attempt that ended with `end`. */
[[nodiscard]] UpstreamHealth healthAfter(const UpstreamHealth &before, AttemptEnd end, MonoTime now);

} // namespace magnolia::entry
