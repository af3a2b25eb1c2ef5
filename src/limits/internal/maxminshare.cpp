// Progressive filling: demands below the level are met in full, the others share the rest equally.
#include "limits/maxminshare.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace magnolia::limits
{

double maxMinLevel(std::span<const double> demands, double capacity)
{
    std::vector<double> ascending(demands.begin(), demands.end());
    std::sort(ascending.begin(), ascending.end());
    double remaining = std::max(0.0, capacity);
    auto unmetDemands = static_cast<double>(ascending.size());
    for (const double demand : ascending) {
        const double level = remaining / unmetDemands;
        if (demand > level) {
            return level;
        }
        remaining -= demand;
        unmetDemands -= 1;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace magnolia::limits
