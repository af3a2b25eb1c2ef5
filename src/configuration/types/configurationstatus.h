// State of the configuration, as shown by `status` and the metrics.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::configuration
{

struct ConfigurationStatus
{
    /** Current revision; zero if there is none. */
    Revision revision;
    /** Highest revision above `revision` that failed validation; zero if there is none. */
    Revision rejected;
    bool isReady = false;
    /** Whether this instance is one of the watchers of its data centre. */
    bool isWatcher = false;
    /** Whether an instance of the data centre is known to have reached the service recently. */
    bool hasActiveWatcher = false;
    std::uint64_t serviceCalls = 0;
    std::uint64_t serviceFailures = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t fetches = 0;
    std::uint64_t rejections = 0;
};

} // namespace magnolia::configuration
