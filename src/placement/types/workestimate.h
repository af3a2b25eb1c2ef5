// Estimated work and time limits of a request before it runs.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::placement
{

struct WorkEstimate
{
    double promptTokens = 0;
    double outputTokens = 0;
    /** Time left until the target for the first event. */
    Milliseconds targetLeft{1000};
    /** Time left until a first event is no longer useful to the caller. */
    Milliseconds timeLeft{10'000};
    /** The caller was refused before or has waited too long; the request is served late rather than refused again. */
    bool isAlreadyLate = false;
    /** Target for the longest gap between two events. */
    Milliseconds gapTarget{1000};
};

/** Returns the worth of a response in thousands of tokens; output tokens count ten times. */
[[nodiscard]] inline double worthOf(double promptTokens, double outputTokens)
{
    // Published credit rule: input tokens + 10 x output tokens.
    constexpr double outputWeight = 10;
    return (promptTokens + outputWeight * outputTokens) / 1000.0;
}

} // namespace magnolia::placement
