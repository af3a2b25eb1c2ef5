// How many engines take long prompts: follows the measured load, with hysteresis.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>

namespace magnolia::routing
{

struct LongPromptEngines
{
    /** The first `count` engines in the rendezvous order of the target take long prompts first. */
    std::uint32_t count = 1;
    /** Since when fewer would have been enough without a break; zero where they would not. */
    MonoTime surplusSince{};
};

} // namespace magnolia::routing
