// Retry delays of refused callers, with random jitter so that callers refused together do not return together.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

namespace magnolia::limits
{

/** Returns a delay uniform in [`earliest`, 1.5 * `earliest`], after raising `earliest` to at least 100 ms. */
[[nodiscard]] Milliseconds jitteredRetryAfter(Milliseconds earliest, Random &random);

/**
 * Returns the delay after which a caller with `timeLeft` is served most likely if the cause of its refusal has lasted
 * for `lasted` and nothing is known about its end: an outage is expected to last about as long again as it has lasted.
 * It is at most what callers honour (catalogue::honouredRetryAfterShare), less the way to the caller.
 */
[[nodiscard]] Milliseconds outageRetryAfter(Milliseconds lasted, Milliseconds timeLeft, Random &random);

} // namespace magnolia::limits
