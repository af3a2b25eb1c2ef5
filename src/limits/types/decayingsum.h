// Exponentially decaying sum; divided by its time constant it is a rate.
#pragma once

#include "framework/global/types/time.h"

#include <algorithm>
#include <cmath>

namespace magnolia::limits
{

struct DecayingSum
{
    // Invariant: not negative; `value` is the sum as of `at`.
    double value = 0;
    MonoTime at{};
};

/** Returns the sum decayed to `now` with time constant `tau`. */
[[nodiscard]] inline double valueAt(const DecayingSum &sum, MonoTime now, Milliseconds tau)
{
    const double age = std::max(0.0, std::chrono::duration<double, std::milli>(now - sum.at).count());
    return sum.value * std::exp(-age / static_cast<double>(tau.count()));
}

inline void add(DecayingSum &sum, double amount, MonoTime now, Milliseconds tau)
{
    sum.value = std::max(0.0, valueAt(sum, now, tau) + amount);
    sum.at = std::max(sum.at, now);
}

} // namespace magnolia::limits
