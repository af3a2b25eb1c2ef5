// An order to an engine that reserves or releases memory for a prompt that several engines share.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <string>

namespace magnolia::gateway
{

struct MemoryOrder
{
    bool isRelease = false;
    /** Identifies the reservation at its engine. */
    std::string reservationId;
    std::uint64_t tokens = 0;
    /** Time after which the engine releases the memory by itself. */
    Milliseconds holdTime{0};
};

} // namespace magnolia::gateway
