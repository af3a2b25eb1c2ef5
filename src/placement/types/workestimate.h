// Work that is left of a request, and how soon its operator wants it done.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::placement
{

struct WorkEstimate
{
    /** Tokens to prefill. */
    double promptTokens = 0;
    /** Tokens to write. */
    double outputTokens = 0;
    /** Estimated time in milliseconds from the first event to the last. */
    double decodeMs = 0;
};

/**
 * How fast the operator wants the responses of a route. It helps to choose among engines that all serve the caller in
 * time; whether a request is served does not depend on it.
 */
struct ResponseTargets
{
    /** Time left until the target for the first event. */
    Milliseconds firstEvent{1000};
    /** Target for the longest gap between two events. */
    Milliseconds gap{1000};
};

} // namespace magnolia::placement
