// Cells of a large fleet: instances that tell each other what they place, and the upstreams that they place it on.
//
// Load that this answers: hundreds of instances. Told to all, each placement costs as many messages as there are
// instances, and each instance hears all that the fleet does. In cells both stay as they are at some fifty instances.
// A cell is a class of stable hashes, so that nobody assigns it; cells divide in two, so that views of different
// counts differ by halves of the same cells.
#pragma once

#include "framework/global/random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::fleet
{

struct CellParameters
{
    /** Instances in a cell above which all cells divide: half of it costs what fleets of one cell were measured at. */
    std::size_t maxInstances = 96;
    /** Instances in a cell below which cells join; far enough below half of the most that a count does not swing. */
    std::size_t minInstances = 36;
    /** Upstreams of a service in a cell, fewer of which are shared by all cells instead: a long prompt takes up to 16.
     */
    std::size_t minUpstreams = 24;
};

/** The number of cells for `live` instances, where there were `current`; a power of two. */
[[nodiscard]] std::size_t nextCellCount(std::size_t current, std::size_t live, const CellParameters &parameters = {});

[[nodiscard]] std::size_t cellIndex(std::uint64_t stableHash, std::size_t cells);

/** Whether the cells have upstreams of their own, of `upstreams` of a service. */
[[nodiscard]] bool areUpstreamsPartitioned(
    std::size_t upstreams, std::size_t cells, const CellParameters &parameters = {});

/** At most `most` of the addresses, drawn anew each time, so that callers spread over all. */
[[nodiscard]] std::vector<std::string> sampleAddresses(
    std::vector<std::string> addresses, std::size_t most, Random &random);

} // namespace magnolia::fleet
