// Tests of the decision to ask a peer for a first state.
#include "fleet/startupfetch.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace magnolia;
using namespace magnolia::fleet;

TEST_CASE("an instance without a state does not ask while no peer has one")
{
    CHECK(startupFetchShare({0, 77}) == 0);
}

TEST_CASE("the first instance with a state is not asked by the whole fleet at once")
{
    const std::size_t instances = GENERATE(6, 77, 295, 330);
    for (std::size_t sources = 1; sources < instances; sources *= 2) {
        const std::size_t withoutState = instances - sources;
        const double requests = startupFetchShare({sources, withoutState}) * static_cast<double>(withoutState);
        // A source serves this many at the same time and refuses more.
        CHECK(requests <= static_cast<double>(sources * maxConcurrentSnapshots));
        // Each source is asked, so that the number of instances with a state keeps growing by a factor.
        CHECK(requests >= static_cast<double>(std::min(sources, withoutState)));
    }
}

TEST_CASE("a single instance that restarts among others with a state asks at its first look")
{
    CHECK(startupFetchShare({76, 1}) == 1);
}

TEST_CASE("the looks of instances that started together are spread")
{
    Random random(GENERATE(1, 2, 3));
    Milliseconds least{1000};
    Milliseconds most{0};
    for (int i = 0; i < 200; ++i) {
        const Milliseconds delay = startupLookDelay(random);
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    CHECK(least >= startupLookInterval / 2);
    CHECK(most <= startupLookInterval * 3 / 2);
    CHECK(most - least >= startupLookInterval / 2);
}
