// Inclusive range of the integers that a setting accepts.
#pragma once

#include <cstdint>

namespace magnolia::settings
{

struct IntegerRange
{
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

} // namespace magnolia::settings
