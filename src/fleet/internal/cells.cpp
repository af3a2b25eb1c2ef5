// Implements the division into cells and the sampling of addresses.
#include "fleet/cells.h"

#include <algorithm>

namespace magnolia::fleet
{

std::size_t nextCellCount(std::size_t currentCells, std::size_t liveInstances, const CellParameters &parameters)
{
    std::size_t cells = std::max<std::size_t>(currentCells, 1);
    while (liveInstances > parameters.maxInstances * cells) {
        cells *= 2;
    }
    while (cells > 1 && liveInstances < parameters.minInstances * cells) {
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

std::vector<std::string> sampleAddresses(std::vector<std::string> addresses, std::size_t maxCount, Random &random)
{
    if (addresses.size() <= maxCount) {
        return addresses;
    }
    for (std::size_t i = 0; i < maxCount; ++i) {
        const std::size_t chosen = i + random.below(addresses.size() - i);
        std::swap(addresses[i], addresses[chosen]);
    }
    addresses.resize(maxCount);
    return addresses;
}

} // namespace magnolia::fleet
