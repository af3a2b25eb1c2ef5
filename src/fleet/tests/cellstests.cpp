// Tests of the division into cells and of the sampling of addresses.
#include "fleet/cells.h"
#include "framework/global/hashing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <set>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

std::vector<std::uint64_t> makeKeys(std::size_t count)
{
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i < count; ++i) {
        keys.push_back(stableHash("engine-" + std::to_string(i)));
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

std::set<std::uint64_t> keysOf(const std::vector<std::uint64_t> &keys, const std::vector<std::size_t> &indices)
{
    std::set<std::uint64_t> found;
    for (const std::size_t i : indices) {
        found.insert(keys[i]);
    }
    return found;
}

const std::vector<std::size_t> evenSizes{74, 74, 74, 74};

std::size_t changeCount(const std::set<std::uint64_t> &before, const std::set<std::uint64_t> &after)
{
    std::vector<std::uint64_t> changed;
    std::set_symmetric_difference(
        before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(changed));
    return changed.size();
}

} // namespace

TEST_CASE("a fleet of 65 instances is one cell, and larger fleets have 36 to 96 instances per cell")
{
    CHECK(nextCellCount(1, 9) == 1);
    CHECK(nextCellCount(1, 65) == 1);
    for (const std::size_t live : {100, 300, 330, 1000, 5000}) {
        const std::size_t cells = nextCellCount(1, live);
        CHECK(live / cells <= 96);
        CHECK(live / cells >= 36);
    }
}

TEST_CASE("small changes of the instance count do not change the number of cells")
{
    std::size_t cells = nextCellCount(1, 97);
    CHECK(cells == 2);
    for (const std::size_t live : {95, 97, 90, 100, 80}) {
        cells = nextCellCount(cells, live);
        CHECK(cells == 2);
    }
    // After the loss of most of the fleet the remaining instances form one cell.
    CHECK(nextCellCount(cells, 40) == 1);
    CHECK(nextCellCount(8, 0) == 1);
}

TEST_CASE("doubling the number of cells splits each cell into two")
{
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t hash = stableHash("i-" + std::to_string(i));
        CHECK(cellIndex(hash, 4) % 2 == cellIndex(hash, 2));
        CHECK(cellIndex(hash, 1) == 0);
    }
}

TEST_CASE("instances spread evenly over the cells")
{
    constexpr std::size_t cells = 4;
    std::map<std::size_t, int> sizes;
    for (int i = 0; i < 300; ++i) {
        ++sizes[cellIndex(stableHash("front-" + std::to_string(i)), cells)];
    }
    for (const auto &[cell, size] : sizes) {
        CHECK(size > 50);
        CHECK(size < 100);
    }
}

TEST_CASE("all cells share the upstreams of a service that has few, and a single cell uses all")
{
    CHECK(upstreamsOfCell(makeKeys(3), 1, evenSizes).size() == 3);
    CHECK(upstreamsOfCell(makeKeys(24), 3, evenSizes).size() == 24);
    CHECK(upstreamsOfCell(makeKeys(300), 0, std::vector<std::size_t>{80}).size() == 300);
    CHECK(upstreamsOfCell({}, 0, evenSizes).empty());
}

TEST_CASE("many upstreams are divided among the cells in proportion to their instances")
{
    const std::vector<std::uint64_t> keys = makeKeys(300);
    const bool isEven = GENERATE(true, false);
    const std::vector<std::size_t> sizes = isEven ? evenSizes : std::vector<std::size_t>{88, 69, 72, 66};
    const double instances = std::accumulate(sizes.begin(), sizes.end(), 0.0);
    std::set<std::size_t> used;
    std::size_t total = 0;
    for (std::size_t cell = 0; cell < sizes.size(); ++cell) {
        const auto members = upstreamsOfCell(keys, cell, sizes);
        const double share = 300 * static_cast<double>(sizes[cell]) / instances;
        CHECK(static_cast<double>(members.size()) >= share - 1);
        CHECK(static_cast<double>(members.size()) <= share + 1);
        CHECK(std::is_sorted(members.begin(), members.end()));
        used.insert(members.begin(), members.end());
        total += members.size();
    }
    // Each upstream is used by exactly one cell.
    CHECK(used.size() == keys.size());
    CHECK(total == keys.size());
}

TEST_CASE("the loss of one upstream changes few upstreams of each cell, at every number of upstreams")
{
    // With 24 upstreams a cell as a threshold, the removal of one of 96 made all cells use all upstreams, of whose load
    // each knew a quarter. Three of four short prompts were late from then on.
    std::vector<std::uint64_t> keys = makeKeys(140);
    Random random(7);
    while (keys.size() > 1) {
        std::vector<std::uint64_t> fewer;
        const std::size_t lost = random.below(keys.size());
        std::copy_if(keys.begin(), keys.end(), std::back_inserter(fewer), [&](std::uint64_t it) {
            return it != keys[lost];
        });
        std::size_t userCount = 0;
        for (std::size_t cell = 0; cell < evenSizes.size(); ++cell) {
            INFO(keys.size() << " upstreams, cell " << cell);
            const auto after = upstreamsOfCell(fewer, cell, evenSizes);
            CHECK(changeCount(keysOf(keys, upstreamsOfCell(keys, cell, evenSizes)), keysOf(fewer, after)) <= 5);
            userCount += after.size();
        }
        // An upstream is used by several cells only as far as the minimum size of a cell requires.
        const std::size_t required = std::max(fewer.size(), 4 * std::min<std::size_t>(24, fewer.size()));
        CHECK(userCount <= required + 3);
        keys = fewer;
    }
}

TEST_CASE("instances whose counts of the instances differ by one nearly agree on the upstreams of each cell")
{
    const std::vector<std::uint64_t> keys = makeKeys(112);
    Random random(9);
    std::vector<std::size_t> sizes{88, 69, 72, 66};
    // From 295 instances down to 144, below which the number of cells halves.
    while (std::accumulate(sizes.begin(), sizes.end(), std::size_t{0}) > 144) {
        std::vector<std::size_t> fewer = sizes;
        --fewer[random.below(fewer.size())];
        for (std::size_t cell = 0; cell < sizes.size(); ++cell) {
            INFO(sizes[0] << ' ' << sizes[1] << ' ' << sizes[2] << ' ' << sizes[3] << ", cell " << cell);
            CHECK(changeCount(keysOf(keys, upstreamsOfCell(keys, cell, sizes)),
                      keysOf(keys, upstreamsOfCell(keys, cell, fewer)))
                <= 5);
        }
        sizes = fewer;
    }
}

TEST_CASE("each sample of many addresses differs, and few addresses are returned whole")
{
    std::vector<std::string> all;
    for (int i = 0; i < 300; ++i) {
        all.push_back("a" + std::to_string(i));
    }
    Random random(1);
    CHECK(sampleAddresses({"a", "b"}, 64, random) == std::vector<std::string>{"a", "b"});
    std::set<std::string> seen;
    for (int i = 0; i < 60; ++i) {
        const auto drawn = sampleAddresses(all, 64, random);
        CHECK(std::set<std::string>(drawn.begin(), drawn.end()).size() == 64);
        seen.insert(drawn.begin(), drawn.end());
    }
    CHECK(seen.size() == 300);
}
