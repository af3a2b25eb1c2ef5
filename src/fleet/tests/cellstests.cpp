// When a fleet divides, and what each part sees.
#include "fleet/cells.h"
#include "framework/global/hashing.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::fleet;

TEST_CASE("a fleet of some sixty instances is one cell, and larger ones keep cells of about that size")
{
    CHECK(nextCellCount(1, 9) == 1);
    CHECK(nextCellCount(1, 65) == 1);
    for (const std::size_t live : {100, 300, 330, 1000, 5000}) {
        const std::size_t cells = nextCellCount(1, live);
        CHECK(live / cells <= 96);
        CHECK(live / cells >= 36);
    }
}

TEST_CASE("a count that swings does not divide and join the cells again and again")
{
    std::size_t cells = nextCellCount(1, 97);
    CHECK(cells == 2);
    for (const std::size_t live : {95, 97, 90, 100, 80}) {
        cells = nextCellCount(cells, live);
        CHECK(cells == 2);
    }
    // After most of the fleet is lost, what is left works together again.
    CHECK(nextCellCount(cells, 40) == 1);
    CHECK(nextCellCount(8, 0) == 1);
}

TEST_CASE("cells of a divided count are parts of those before")
{
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t hash = stableHash("i-" + std::to_string(i));
        CHECK(cellIndex(hash, 4) % 2 == cellIndex(hash, 2));
        CHECK(cellIndex(hash, 1) == 0);
    }
}

TEST_CASE("cells are of about equal size")
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

TEST_CASE("a service with few upstreams is shared by all cells")
{
    CHECK_FALSE(areUpstreamsPartitioned(3, 4));
    CHECK_FALSE(areUpstreamsPartitioned(45, 1));
    CHECK_FALSE(areUpstreamsPartitioned(45, 4));
    CHECK(areUpstreamsPartitioned(300, 4));
}

TEST_CASE("callers are given another part of many addresses each time, and all of few")
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
