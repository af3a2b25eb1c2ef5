// Tests of result codes, quantities, hashing and the random generator.
#include "framework/global/hashing.h"
#include "framework/global/random.h"
#include "framework/global/resultcode.h"
#include "framework/global/types/tokens.h"

#include <catch2/catch.hpp>

#include <map>

using namespace magnolia;

TEST_CASE("every result code has an HTTP status and a text that ends with a full stop")
{
    for (const ResultCodeInfo &info : resultCodeTable()) {
        INFO(info.name);
        CHECK(info.text.ends_with('.'));
        CHECK(info.httpStatus >= 200);
        CHECK(info.httpStatus < 600);
        CHECK(&resultCodeInfo(info.code) == &info);
    }
}

TEST_CASE("the subtraction of quantities saturates at zero")
{
    CHECK((Tokens(3) - Tokens(5)).count() == 0);
    CHECK((Tokens(5) - Tokens(3)).count() == 2);
}

TEST_CASE("the removal of a node from rendezvous hashing moves only its keys")
{
    const std::vector<std::string> nodes{"a", "b", "c", "d", "e"};
    const std::vector<std::string> remainingNodes{"a", "b", "d", "e"};
    std::map<std::string, int> keyCounts;
    for (int i = 0; i < 5000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = nodes[*rendezvousOwner(key, nodes)];
        const std::string after = remainingNodes[*rendezvousOwner(key, remainingNodes)];
        ++keyCounts[before];
        if (before != "c") {
            CHECK(before == after);
        }
    }
    for (const auto &[node, n] : keyCounts) {
        INFO(node);
        CHECK(n > 800);
        CHECK(n < 1200);
    }
    CHECK_FALSE(rendezvousOwner("key", {}).has_value());
}

TEST_CASE("random generators with the same seed return the same values, and bounded values stay in range")
{
    Random a(7);
    Random b(7);
    for (int i = 0; i < 1000; ++i) {
        CHECK(a.next() == b.next());
        CHECK(a.below(10) < 10);
        static_cast<void>(b.below(10));
    }
    CHECK(a.below(0) == 0);
}
