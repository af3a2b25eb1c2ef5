// An order to one engine: the desired state and the fencing number that ranks it among other orders.
#pragma once

#include "framework/global/types/ids.h"
#include "orders/types/desiredstate.h"

namespace magnolia::orders
{

struct EngineOrder
{
    FencingNumber fencing;
    DesiredState desired;
    /** The engine unloads or replaces what it currently serves. */
    bool isDestructive = false;
};

} // namespace magnolia::orders
