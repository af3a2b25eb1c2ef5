// Model of callers with one retry that meet instances without a configuration.
#pragma once

#include "framework/global/random.h"
#include "framework/global/types/time.h"

#include <cstddef>
#include <vector>

namespace magnolia::gateway::tests
{

enum class CallerRule {
    /** 300 ms unread, then a refusal with a Retry-After of 300 to 450 ms. */
    Previous,
    /** The product's decision. */
    Current,
};

struct CallerLoad
{
    /** Callers arrive evenly from the start of the instances for this time. */
    Milliseconds time{1500};
    std::size_t callers = 3000;
    std::vector<Milliseconds> deadlines{
        Milliseconds(1000), Milliseconds(1200), Milliseconds(4000), Milliseconds(15'000)};
    std::uint64_t seed = 1;
};

/** Returns the number of callers whose request starts at a ready instance before its deadline. */
[[nodiscard]] std::size_t countServed(
    const CallerLoad &load, const std::vector<Milliseconds> &readyAt, CallerRule rule);

} // namespace magnolia::gateway::tests
