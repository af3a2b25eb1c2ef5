// Max-min fairness over demands (Bertsekas, Gallager: "Data Networks", section 6.5).
#pragma once

#include <span>

namespace magnolia::limits
{

/**
 * Returns the max-min fair level: each demand gets min(demand, level), and the shares add up to `capacity`.
 * Returns infinity if all demands fit. Demands and capacity have the same unit and are not weighted.
 */
[[nodiscard]] double maxMinLevel(std::span<const double> demands, double capacity);

} // namespace magnolia::limits
