// Decides how long the placements of an instance that is silent are kept.
//
// An instance is silent also if only its datagrams are lost or late, and its requests then go on running. Engines whose
// placements were dropped at once looked idle and were overloaded by all others. An instance that has ended has freed
// its engines, so its placements are kept no longer than its requests would run.
#pragma once

#include "framework/global/types/time.h"
#include "placement/types/placement.h"

namespace magnolia::placement
{

/** Longest time for which a placement of a silent instance is kept; the longest published deadline of a request. */
inline constexpr Milliseconds maxSilentKeepTime{15'000};

/**
 * Returns the time until which a placement counts whose owner was last heard at `lastHeardAt`: the expected end of the
 * request, as far as known then. `decodeMs` is the estimated time from the first event to the last, in milliseconds.
 */
[[nodiscard]] MonoTime keepUntil(const Placement &placement, MonoTime lastHeardAt, double decodeMs);

} // namespace magnolia::placement
