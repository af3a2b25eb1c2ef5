// What a request asks of an engine, as far as it is known before it runs.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::placement
{

struct WorkEstimate
{
    double promptTokens = 0;
    double outputTokens = 0;
    /** Time to the first event that is on time; what is left of it when the work is placed. */
    Milliseconds targetLeft{1000};
    /** Time after which a first event is of no use any more. */
    Milliseconds timeLeft{10'000};
    /** The caller was refused before, or has waited past its target: it is served late rather than refused again. */
    bool isAlreadyLate = false;
    /** Longest pause between events that is on time. */
    Milliseconds gapTarget{1000};
};

/** Worth of an answer in thousands of tokens: what is read, and what is written at ten times the weight. */
[[nodiscard]] inline double worthOf(double promptTokens, double outputTokens)
{
    // Output is priced at several times the input by the published rule of credit: tokens in + 10 x tokens out.
    constexpr double outputWeight = 10;
    return (promptTokens + outputWeight * outputTokens) / 1000.0;
}

} // namespace magnolia::placement
