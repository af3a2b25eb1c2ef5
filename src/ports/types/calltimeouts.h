// Timeouts of calls to the platform.
#pragma once

#include "framework/global/types/time.h"

namespace magnolia::ports
{

struct CallTimeouts
{
    Milliseconds connectTimeout{500};
    /** Time from the first byte sent to the last byte received; a watch adds its wait. */
    Milliseconds answerTimeout{2'000};
};

} // namespace magnolia::ports
