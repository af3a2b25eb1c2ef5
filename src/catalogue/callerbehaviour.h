// What callers do while they wait, as the protocol that they share with the instances states it.
//
// These are the only figures about callers that a decision uses beside the deadline that a caller states.
#pragma once

#include "framework/global/types/time.h"

#include <algorithm>

namespace magnolia::catalogue
{

/** A caller stays on a stream that is silent for at least this long. */
inline constexpr Milliseconds minStreamPatience{2000};
/** Callers honour a Retry-After up to this share of the time that they have left. */
inline constexpr double honouredRetryAfterShare = 1.0 / 3;

/**
 * Returns the time without an event after which a caller abandons a stream, also before its first event: the longest of
 * `minStreamPatience`, four times the latency target and eight times the gap target of its route.
 */
[[nodiscard]] inline Milliseconds streamPatience(Milliseconds latencyTarget, Milliseconds gapTarget)
{
    return std::max({minStreamPatience, 4 * latencyTarget, 8 * gapTarget});
}

} // namespace magnolia::catalogue
