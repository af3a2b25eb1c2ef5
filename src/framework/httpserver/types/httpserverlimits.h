// Limits of one HTTP listener.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

namespace magnolia
{

struct HttpServerLimits
{
    /** Connections served at once; each has a thread of its own. */
    int maxConnections = 4096;
    /** Time in which the whole head of a request must have arrived, from its first byte. */
    Milliseconds headTimeout{10000};
    /** Longest wait for a single read or write that makes no progress. */
    Milliseconds stallTimeout{10000};
    /** Time for which an idle connection is kept for a further request. */
    Milliseconds idleTimeout{15000};
    int maxHeaderFields = 64;
};

} // namespace magnolia
