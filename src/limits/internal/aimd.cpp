// The steps of AIMD.
#include "limits/aimd.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

// Growth without use would leave a limit that no longer limits anything.
constexpr double usedShareForIncrease = 0.5;

} // namespace

void setLimit(AimdLimit &limit, double value)
{
    limit.limit = std::clamp(value, limit.parameters.minLimit, limit.parameters.maxLimit);
}

void onTargetMet(AimdLimit &limit, double inUse)
{
    if (inUse >= limit.limit * usedShareForIncrease) {
        setLimit(limit, limit.limit + limit.parameters.minLimit * limit.parameters.increaseShare);
    }
}

void onTargetMissed(AimdLimit &limit, MonoTime now)
{
    const bool isFirst = limit.lastDecrease == MonoTime{};
    if (!isFirst && now - limit.lastDecrease < limit.parameters.minDecreaseInterval) {
        return;
    }
    limit.lastDecrease = now;
    setLimit(limit, limit.limit * limit.parameters.decreaseFactor);
}

} // namespace magnolia::limits
