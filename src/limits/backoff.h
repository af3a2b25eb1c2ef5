// Retry delays with random jitter, so that callers refused together do not retry together.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

namespace magnolia::limits
{

/** Returns a delay uniform in [`earliest`, 1.5 * `earliest`], after raising `earliest` to at least 100 ms. */
[[nodiscard]] Milliseconds jitteredRetryAfter(Milliseconds earliest, Random &random);

} // namespace magnolia::limits
