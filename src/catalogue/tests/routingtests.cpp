// Tests of route matching, API key extraction and weighted destinations.
#include "catalogue/routing.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::catalogue;

namespace
{

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "host.example";
    route.prefix = prefix;
    return route;
}

} // namespace

TEST_CASE("findRoute returns the route with the longest matching prefix")
{
    Catalogue catalogue;
    catalogue.routesByHost["host.example"]
        = {makeRoute("short", "/a/"), makeRoute("long", "/a/b/"), makeRoute("other", "/c/")};
    sortRoutes(catalogue);

    CHECK(findRoute(catalogue, "host.example", "/a/b/x")->name == "long");
    CHECK(findRoute(catalogue, "HOST.example:8080", "/a/x")->name == "short");
    CHECK(findRoute(catalogue, "host.example", "/a") == nullptr);
    CHECK(findRoute(catalogue, "elsewhere.example", "/a/x") == nullptr);
}

TEST_CASE("extractApiKey returns a key only for the expected scheme")
{
    CHECK(extractApiKey("Token abc", "Token") == "abc");
    CHECK(extractApiKey("Bearer abc", "Token").empty());
    CHECK(extractApiKey("Tokenabc", "Token").empty());
    CHECK(extractApiKey("", "Token").empty());
}

TEST_CASE("chooseDestination follows the weights and is stable for each request id")
{
    Route route;
    route.destinations = {{"one", 90}, {"two", 10}, {"none", 0}};
    int two = 0;
    constexpr int requests = 4000;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "request-" + std::to_string(i);
        const Destination *chosen = chooseDestination(route, id);
        REQUIRE(chosen != nullptr);
        CHECK(chosen == chooseDestination(route, id));
        CHECK(chosen->service != "none");
        two += chosen->service == "two" ? 1 : 0;
    }
    CHECK(two > requests / 20);
    CHECK(two < requests / 5);
    route.destinations = {{"none", 0}};
    CHECK(chooseDestination(route, "x") == nullptr);
}
