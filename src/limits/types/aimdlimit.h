// State of a limit that adapts by additive increase and multiplicative decrease (AIMD).
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::limits
{

struct AimdParameters
{
    double minLimit = 1;
    double maxLimit = 1e12;
    /** Added for each outcome within its target while the limit is in use, as a share of the minimum. */
    double increaseShare = 0.02;
    /** The limit is multiplied by this when an outcome misses its target. */
    double decreaseFactor = 0.8;
    /** At most one decrease in this time: misses of one burst count once. */
    Milliseconds minDecreaseInterval{500};
};

struct AimdLimit
{
    AimdParameters parameters;
    // Invariant: within [parameters.minLimit, parameters.maxLimit].
    double limit = 1;
    MonoTime lastDecrease{};
};

} // namespace magnolia::limits
