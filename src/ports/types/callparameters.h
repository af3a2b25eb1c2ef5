// Time-outs of calls to the platform.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::ports
{

struct CallParameters
{
    Milliseconds connect{500};
    /** From the first byte sent to the last byte received; a watch adds its wait. */
    Milliseconds answer{2'000};
};

} // namespace magnolia::ports
