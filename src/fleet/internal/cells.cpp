// Implements the division into cells and the sampling of addresses.
#include "fleet/cells.h"

#include <algorithm>
#include <numeric>

namespace magnolia::fleet
{

namespace
{

/** Position of an upstream among those that `cell` takes or keeps, as in rendezvous hashing. */
std::uint64_t rankForCell(std::uint64_t key, std::size_t cell)
{
    return Random(key ^ Random(cell).next()).next();
}

/** Returns the share of each cell in `upstreamCount` upstreams, in proportion to its instances. */
std::vector<std::size_t> sharesOfCells(std::size_t upstreamCount, std::span<const std::size_t> cellSizes)
{
    const std::size_t instanceCount = std::accumulate(cellSizes.begin(), cellSizes.end(), std::size_t{0});
    std::vector<std::size_t> shares;
    std::size_t instancesBefore = 0;
    for (const std::size_t size : cellSizes) {
        const std::size_t begin = upstreamCount * instancesBefore / std::max<std::size_t>(1, instanceCount);
        instancesBefore += size;
        shares.push_back(upstreamCount * instancesBefore / std::max<std::size_t>(1, instanceCount) - begin);
    }
    return shares;
}

/** Returns the cell to which each upstream belongs. */
std::vector<std::size_t> divideUpstreams(std::span<const std::uint64_t> keys, std::span<const std::size_t> cellSizes)
{
    const std::vector<std::size_t> shares = sharesOfCells(keys.size(), cellSizes);
    std::vector<std::vector<std::size_t>> members(cellSizes.size());
    std::vector<std::size_t> cellOfUpstream(keys.size(), 0);
    for (std::size_t i = 0; i < keys.size(); ++i) {
        cellOfUpstream[i] = cellIndex(keys[i], cellSizes.size());
        members[cellOfUpstream[i]].push_back(i);
    }
    std::vector<std::size_t> surplus;
    for (std::size_t cell = 0; cell < members.size(); ++cell) {
        std::sort(members[cell].begin(), members[cell].end(), [&](std::size_t a, std::size_t b) {
            return rankForCell(keys[a], cell) < rankForCell(keys[b], cell);
        });
        const std::size_t kept = std::min(shares[cell], members[cell].size());
        surplus.insert(surplus.end(), members[cell].begin() + static_cast<std::ptrdiff_t>(kept), members[cell].end());
    }
    std::sort(surplus.begin(), surplus.end());
    auto next = surplus.begin();
    for (std::size_t cell = 0; cell < members.size(); ++cell) {
        for (std::size_t n = members[cell].size(); n < shares[cell] && next != surplus.end(); ++n) {
            cellOfUpstream[*next++] = cell;
        }
    }
    return cellOfUpstream;
}

} // namespace

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

std::vector<std::size_t> upstreamsOfCell(std::span<const std::uint64_t> keys, std::size_t cell,
    std::span<const std::size_t> cellSizes, const CellParameters &parameters)
{
    const std::vector<std::size_t> cellOfUpstream = divideUpstreams(keys, cellSizes);
    std::vector<std::size_t> own;
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        (cellOfUpstream[i] == cell ? own : others).push_back(i);
    }
    const std::size_t wanted = std::min(keys.size(), parameters.minUpstreams);
    if (own.size() >= wanted) {
        return own;
    }
    const auto end = others.begin() + static_cast<std::ptrdiff_t>(wanted - own.size());
    std::nth_element(others.begin(), end, others.end(), [&](std::size_t a, std::size_t b) {
        return rankForCell(keys[a], cell) < rankForCell(keys[b], cell);
    });
    std::sort(others.begin(), end);
    own.insert(own.begin() + static_cast<std::ptrdiff_t>(own.size() / 2), others.begin(), end);
    return own;
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
