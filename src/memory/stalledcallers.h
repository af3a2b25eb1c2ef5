// Chooses the callers that are disconnected while memory is short. It does no I/O.
//
// Answers the load of callers that hold queued output and read nothing. A caller that reads, however slowly, is kept.
#pragma once

#include "framework/global/types/bytes.h"
#include "framework/global/types/time.h"

#include <cstddef>
#include <vector>

namespace magnolia::memory
{

struct CallerOutput
{
    /** Bytes that are queued for the caller. */
    Bytes held;
    /** Time since the caller has last read any of them. */
    Milliseconds stalled{0};
    /** Time after which callers of the route stop waiting. */
    Milliseconds waitLimit{0};
};

/**
 * Returns the indexes of the callers to disconnect: those that have read nothing for longer than their limit, the
 * largest holders first, until `excess` bytes become free.
 */
[[nodiscard]] std::vector<std::size_t> callersToDisconnect(const std::vector<CallerOutput> &callers, Bytes excess);

} // namespace magnolia::memory
