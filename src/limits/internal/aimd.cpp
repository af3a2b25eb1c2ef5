// Increase and decrease steps of AIMD.
#include "limits/aimd.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

// A limit that grows while unused no longer limits anything.
constexpr double minUsedShareForIncrease = 0.5;

} // namespace

void setLimit(AimdLimit &limit, double value)
{
    limit.limit = std::clamp(value, limit.parameters.minLimit, limit.parameters.maxLimit);
}

void onTargetMet(AimdLimit &limit, double inUse)
{
    if (inUse >= limit.limit * minUsedShareForIncrease) {
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
