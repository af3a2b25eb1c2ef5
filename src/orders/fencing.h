// Fencing numbers of orders: they increase without a shared counter, as they combine the revisions of the configuration
// and of the list.
#pragma once

#include "framework/global/types/ids.h"

#include <cstdint>

namespace magnolia::orders
{

/** Bits of the list's revision. With 26 bits for the configuration's, a fencing number is exact as a JSON number. */
constexpr unsigned listRevisionBits = 27;

/** The fencing number of orders that an owner under this list sends for this configuration. */
[[nodiscard]] constexpr FencingNumber fencingNumber(Revision configuration, std::uint64_t listRevision)
{
    constexpr std::uint64_t listMask = (1ULL << listRevisionBits) - 1;
    return FencingNumber((configuration.count() << listRevisionBits) | (listRevision & listMask));
}

} // namespace magnolia::orders
