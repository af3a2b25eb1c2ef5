// The property of requests that explains a series of crashes.
#pragma once

#include "quarantine/types/crashreport.h"
#include "quarantine/types/requesttraits.h"

#include <vector>

namespace magnolia::quarantine
{

struct Culprit
{
    /** Common to all requests that are blamed; which of the suspects is the reason is not known if there are several.
     */
    RequestTraits traits;
    /** The crashes that it explains, in order of time. */
    std::vector<UpstreamRun> runs;
    MonoTime firstCrashAt{};
    MonoTime lastCrashAt{};
};

} // namespace magnolia::quarantine
