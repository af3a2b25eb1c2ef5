// An entry's information about the configuration and its peers on which orders are based, and a reading of its clocks.
#pragma once

#include "framework/global/types/ids.h"
#include "framework/global/types/time.h"

#include <cstddef>

namespace magnolia::orders
{

struct OrderView
{
    /** Revision of the configuration from which the desired states are derived. */
    Revision configuration;
    /** When the configuration service or a peer last confirmed that no newer revision exists. */
    MonoTime configurationConfirmedAt{};
    /** Number of other listed entries that this one receives messages from. */
    std::size_t reachablePeerCount = 0;
};

struct ClockReading
{
    WallTime wall{};
    MonoTime mono{};
};

} // namespace magnolia::orders
