// Abilities that instances state in extension messages.
#pragma once

#include <cstdint>

namespace magnolia::fleet
{

/** A bit of the set of capabilities that an instance states; the values are sent to other builds. */
enum class Capability : std::uint64_t {
    /** Keeps budgets of cold upstreams. */
    ColdBudgets = std::uint64_t{1} << 0,
    /** Sends nothing to the upstreams of an evacuated data centre. */
    Evacuations = std::uint64_t{1} << 1,
    /** Reads increments in the compact form. */
    CompactIncrements = std::uint64_t{1} << 2,
};

} // namespace magnolia::fleet
