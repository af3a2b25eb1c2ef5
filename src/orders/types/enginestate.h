// An engine's report about its current state and the orders that it has accepted.
#pragma once

#include "framework/global/types/ids.h"
#include "orders/types/desiredstate.h"

namespace magnolia::orders
{

struct EngineState
{
    /** Highest fencing number of an accepted order; zero if the engine does not store it. */
    FencingNumber highestFencing;
    /** An empty model means that nothing is loaded. */
    DesiredState current;
    /** The engine is carrying out an order; `current` is the state it will have afterwards. */
    bool isLoading = false;
    /** From the published list: whether the engine rejects orders with a lower fencing number than an accepted one. */
    bool checksFencing = false;
};

} // namespace magnolia::orders
