// Number of engines that take long prompts; it follows the measured load with hysteresis.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::routing
{

struct LongPromptEngines
{
    /** The first `count` engines in the rendezvous order of the model are preferred for long prompts. */
    std::uint32_t count = 1;
    /** Since when fewer engines have been enough without interruption; zero if they are not enough now. */
    MonoTime surplusSince{};
};

} // namespace magnolia::routing
