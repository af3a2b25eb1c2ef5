// Requests that are refused because such requests have crashed upstreams.
#pragma once

#include "quarantine/types/requesttraits.h"

#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::quarantine
{

struct QuarantineEntry
{
    /** A request that has all of them is refused. Invariant: has at least one suspect. */
    RequestTraits traits;
    std::uint32_t crashCount = 0;
    MonoTime firstCrashAt{};
    MonoTime lastCrashAt{};
    /** End of the quarantine. After it, one instance sends such requests one at a time until one succeeds. */
    MonoTime until{};
    /** Length of the quarantine; doubles each time a trial crashes an upstream. */
    Milliseconds duration{0};
    /** Time at which the trial in progress was sent; zero if there is none. Not shared with other instances. */
    MonoTime triedAt{};
};

} // namespace magnolia::quarantine
