// States that an upstream crashed while a request was in progress there.
#pragma once

#include "quarantine/types/requesttraits.h"

#include "framework/global/types/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace magnolia::quarantine
{

/** One run of an upstream. All reports of one run tell of the same crash. */
struct UpstreamRun
{
    std::uint64_t upstream = 0;
    /** Start time of the run in Unix milliseconds. */
    std::uint64_t startedAt = 0;

    // clang-tidy 14 mistakes the zero in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const UpstreamRun &, const UpstreamRun &) = default;
};

struct CrashReport
{
    /** Identifies the report between instances. */
    std::uint64_t id = 0;
    UpstreamRun run;
    /** Time at which the request was sent to the upstream. */
    MonoTime sentAt{};
    /** Time at which its connection ended. */
    MonoTime endedAt{};
    /** Without suspects if the upstream was not beginning with the request when it crashed. */
    RequestTraits traits;
    /** Suspects of which a request had succeeded at the reporting instance not long before. Sorted. */
    std::vector<Fingerprint> established;
};

} // namespace magnolia::quarantine
