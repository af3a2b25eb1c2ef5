// An order to an engine: memory is set aside for a prompt that several engines hold, or given back.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <string>

namespace magnolia::gateway
{

struct MemoryOrder
{
    bool isRelease = false;
    /** Names the reservation at its engine. */
    std::string ticket;
    std::uint64_t tokens = 0;
    /** After this the engine gives the memory back by itself. */
    Milliseconds hold{0};
};

} // namespace magnolia::gateway
