// Tests of the division into cells and of the sampling of addresses.
#include "fleet/cells.h"
#include "framework/global/hashing.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::fleet;

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

TEST_CASE("all cells share the upstreams of a service that has few")
{
    CHECK_FALSE(areUpstreamsPartitioned(3, 4));
    CHECK_FALSE(areUpstreamsPartitioned(45, 1));
    CHECK_FALSE(areUpstreamsPartitioned(45, 4));
    CHECK(areUpstreamsPartitioned(300, 4));
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
