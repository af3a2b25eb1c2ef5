// State of a limit adapted by additive increase and multiplicative decrease (AIMD).
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::limits
{

struct AimdParameters
{
    double minLimit = 1;
    double maxLimit = 1e12;
    /** Added for each outcome that met its target while the limit is in use, as a share of `minLimit`. */
    double increaseShare = 0.02;
    /** Factor applied to the limit when an outcome misses its target. */
    double decreaseFactor = 0.8;
    /** Minimum time between two decreases, so that a burst of misses counts once. */
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
