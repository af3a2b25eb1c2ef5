// How the end of an attempt changes what is believed of an upstream.
#pragma once

#include "blackboard/types/upstreamhealth.h"
#include "entry/types/attemptend.h"

namespace magnolia::entry
{

/** First time that an upstream is avoided after it could not be reached; doubles with each failure in a row. */
constexpr Milliseconds initialAvoidance{250};
constexpr Milliseconds maxAvoidance{8000};

[[nodiscard]] UpstreamHealth healthAfter(const UpstreamHealth &before, AttemptEnd end, MonoTime now);

} // namespace magnolia::entry
