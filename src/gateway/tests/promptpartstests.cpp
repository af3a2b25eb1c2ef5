// Checks which parts of a prompt count as shared.
#include "gateway/internal/promptparts.h"

#include <catch2/catch.hpp>

using magnolia::gateway::sharedPromptParts;
using Ids = std::vector<std::string_view>;

TEST_CASE("all parts of a prompt but the last are shared")
{
    CHECK(sharedPromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == Ids{"5c1e07a2", "91bd3f06"});
    CHECK(sharedPromptParts(" a:1 , b:2 ,c:3") == Ids{"a", "b"});
    CHECK(sharedPromptParts("a:1").empty());
    CHECK(sharedPromptParts("").empty());
}

TEST_CASE("malformed parts of a prompt are skipped and their number is bounded")
{
    CHECK(sharedPromptParts("a,:5,,b:2,c:3") == Ids{"b"});
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += std::to_string(i) + ":1,";
    }
    CHECK(sharedPromptParts(many).size() == magnolia::gateway::maxSharedPromptParts);
}
