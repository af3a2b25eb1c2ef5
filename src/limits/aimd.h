// Additive increase, multiplicative decrease (Chiu, Jain: "Analysis of the increase and decrease algorithms", 1989).
#pragma once

#include "limits/types/aimdlimit.h"

namespace magnolia::limits
{

/** Sets the limit to `value`, clamped to its bounds. */
void setLimit(AimdLimit &limit, double value);

/** Increases the limit after an outcome that met its target, if at least half of the limit was in use. */
void onTargetMet(AimdLimit &limit, double inUse);

/** Decreases the limit after an outcome that missed its target, at most once in `minDecreaseInterval`. */
void onTargetMissed(AimdLimit &limit, MonoTime now);

} // namespace magnolia::limits
