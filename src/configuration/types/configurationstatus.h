// What `status` and the metrics tell of the configuration.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::configuration
{

struct ConfigurationStatus
{
    /** In force; zero: none. */
    Revision revision;
    /** Highest revision above it that failed its check; zero: none. */
    Revision rejected;
    bool isReady = false;
    /** Whether this instance is one of its data centre's watchers. */
    bool isWatcher = false;
    /** Whether anybody of the data centre was heard to reach the service lately. */
    bool hasActiveWatcher = false;
    std::uint64_t serviceCalls = 0;
    std::uint64_t serviceFailures = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t fetches = 0;
    std::uint64_t rejections = 0;
};

} // namespace magnolia::configuration
