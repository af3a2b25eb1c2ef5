// Division of a large fleet into cells. The instances of a cell announce their placements to each other and share a
// part of the upstreams.
//
// Without cells each placement costs one message per instance, and each instance receives the messages of all others,
// which is too much for hundreds of instances. With cells both stay at the level of a fleet of about fifty instances.
// The cell follows from a stable hash, so that nothing has to assign it. The number of cells is a power of two:
// instances that count differently still agree, except that one sees a cell where the other sees its two halves.
#pragma once

#include "framework/global/random.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct CellParameters
{
    /** Instances per cell above which the number of cells doubles. Half-size cells cost as little as a small fleet. */
    std::size_t maxInstances = 96;
    /**
     * Instances per cell below which the number of cells halves. It is well below half of `maxInstances`, so that
     * small changes of the fleet do not change the number of cells back and forth.
     */
    std::size_t minInstances = 36;
    /** Minimum number of upstreams of a service that a cell uses. A long prompt takes up to 16 upstreams. */
    std::size_t minUpstreams = 24;
};

/** Returns the number of cells, a power of two, for `liveInstances` when there are `currentCells` now. */
[[nodiscard]] std::size_t nextCellCount(
    std::size_t currentCells, std::size_t liveInstances, const CellParameters &parameters = {});

/** Returns the index of the cell to which an instance or upstream with this hash belongs. */
[[nodiscard]] std::size_t cellIndex(std::uint64_t stableHash, std::size_t cells);

/**
 * Returns the indices of the upstreams that the instances of `cell` use, in the order in which they fill them. `keys`
 * are the ascending stable hashes of all upstreams of one service; `cellSizes` are the numbers of instances by cell.
 *
 * The upstreams are divided in proportion to the instances of the cells. An upstream belongs to the cell of its hash;
 * what a cell has beyond its share goes to cells with too few. A cell with less than `minUpstreams` also borrows
 * upstreams that remain in use by their own cell, in an order that is particular to the borrower. Borrowed upstreams
 * are in the middle of the order, which both the short prompts from its start and the long prompts from its end reach
 * last.
 *
 * One upstream or instance more or less changes a few members of the result, so instances whose views differ by a few
 * nearly agree, and no number of upstreams is a threshold.
 */
[[nodiscard]] std::vector<std::size_t> upstreamsOfCell(std::span<const std::uint64_t> keys, std::size_t cell,
    std::span<const std::size_t> cellSizes, const CellParameters &parameters = {});

/** Returns at most `maxCount` of the addresses, a new random sample on each call, so that callers spread over all. */
[[nodiscard]] std::vector<std::string> sampleAddresses(
    std::vector<std::string> addresses, std::size_t maxCount, Random &random);

} // namespace magnolia::fleet
