// Counting and drawing.
#include "fleet/cells.h"

#include <algorithm>

namespace magnolia::fleet
{

std::size_t nextCellCount(std::size_t current, std::size_t live, const CellParameters &parameters)
{
    std::size_t cells = std::max<std::size_t>(current, 1);
    while (live > parameters.maxInstances * cells) {
        cells *= 2;
    }
    while (cells > 1 && live < parameters.minInstances * cells) {
        cells /= 2;
    }
    return cells;
}

std::size_t cellIndex(std::uint64_t stableHash, std::size_t cells)
{
    return static_cast<std::size_t>(stableHash % std::max<std::size_t>(cells, 1));
}

bool areUpstreamsPartitioned(std::size_t upstreams, std::size_t cells, const CellParameters &parameters)
{
    return cells > 1 && upstreams / cells >= parameters.minUpstreams;
}

std::vector<std::string> sampleAddresses(std::vector<std::string> addresses, std::size_t most, Random &random)
{
    if (addresses.size() <= most) {
        return addresses;
    }
    for (std::size_t i = 0; i < most; ++i) {
        const std::size_t drawn = i + random.below(addresses.size() - i);
        std::swap(addresses[i], addresses[drawn]);
    }
    addresses.resize(most);
    return addresses;
}

} // namespace magnolia::fleet
