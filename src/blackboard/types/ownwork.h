// Requests that this instance has in flight at an upstream. Exact, unlike load reports.
#pragma once

#include "framework/global/types/tokens.h"

#include <cstdint>

namespace magnolia
{

struct OwnWork
{
    std::uint32_t inFlight = 0;
    /** Requests in flight with a long prompt. */
    std::uint32_t longInFlight = 0;
    /** Prompt tokens of requests in flight that have not returned their first token. */
    Tokens pendingPrefill;
};

} // namespace magnolia
