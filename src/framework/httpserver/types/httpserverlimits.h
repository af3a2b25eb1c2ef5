// Limits of an HTTP server.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

namespace magnolia
{

struct HttpServerLimits
{
    /** Maximum number of open connections; each has its own thread. */
    int maxConnections = 4096;
    /** Maximum time from the first byte of a request to the end of its head. */
    Milliseconds headTimeout{10000};
    /** Maximum wait for a single read or write without progress. */
    Milliseconds stallTimeout{10000};
    /** Time for which an idle connection stays open for another request. */
    Milliseconds idleTimeout{15000};
    int maxHeaderFields = 64;
};

} // namespace magnolia
