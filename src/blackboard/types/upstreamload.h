// A load report of an upstream. Reports are delayed and may be missing.
#pragma once

#include "framework/global/types/time.h"
#include "framework/global/types/tokens.h"

#include <cstdint>

namespace magnolia
{

struct UpstreamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Prompt tokens admitted by the engine but not yet prefilled. */
    Tokens queuedPrefill;
    /** KV cache memory that is neither reserved nor in use. */
    Tokens freeMemory;
    /** Time of the measurement on this instance's clock. */
    MonoTime measuredAt{};
};

} // namespace magnolia
