// Tests of the number of engines for long prompts and of their selection.
#include "fakefleet.h"

#include "routing/longpromptengines.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::routing;
using magnolia::routing::testing::FakeFleet;

TEST_CASE("the number of engines for long prompts increases at once and decreases by one after ten steady seconds")
{
    LongPromptEngines state;
    LongPromptDemand demand{.longTokensPerSecond = 60'000, .prefillTokensPerSecond = 20'000, .engineCount = 15};
    MonoTime now{Seconds(1)};
    adjustLongPromptEngines(state, demand, now);
    CHECK(state.count == 5);
    demand.longTokensPerSecond = 1'000;
    adjustLongPromptEngines(state, demand, now += Seconds(1));
    CHECK(state.count == 5);
    adjustLongPromptEngines(state, demand, now += Seconds(9));
    CHECK(state.count == 5);
    adjustLongPromptEngines(state, demand, now += Seconds(1));
    CHECK(state.count == 4);
    adjustLongPromptEngines(state, demand, now += Seconds(1));
    CHECK(state.count == 4);
}

TEST_CASE("a load that oscillates within ten seconds does not change the number of engines for long prompts")
{
    LongPromptEngines state;
    LongPromptDemand demand{.longTokensPerSecond = 60'000, .prefillTokensPerSecond = 20'000, .engineCount = 15};
    MonoTime now{Seconds(1)};
    for (int i = 0; i < 50; ++i) {
        demand.longTokensPerSecond = i % 4 == 0 ? 60'000 : 10'000;
        adjustLongPromptEngines(state, demand, now += Seconds(2));
        CHECK(state.count == 5);
    }
}

TEST_CASE("one engine is always left for short prompts, and a single engine takes all prompts")
{
    LongPromptEngines state;
    adjustLongPromptEngines(
        state, {.longTokensPerSecond = 1e9, .prefillTokensPerSecond = 1, .engineCount = 4}, MonoTime{});
    CHECK(state.count == 3);
    adjustLongPromptEngines(
        state, {.longTokensPerSecond = 1e9, .prefillTokensPerSecond = 1, .engineCount = 1}, MonoTime{});
}

TEST_CASE("the sets of engines for long prompts of different sizes are nested")
{
    const FakeFleet fleet(15);
    std::vector<const PublishedInstance *> engines;
    for (const PublishedInstance &it : fleet.list.instances) {
        engines.push_back(&it);
    }
    for (std::uint32_t n = 1; n < 15; ++n) {
        const auto fewer = rendezvousMembers(engines, "m", n);
        const auto more = rendezvousMembers(engines, "m", n + 1);
        CHECK(std::count(fewer.begin(), fewer.end(), true) == n);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            CHECK((!fewer[i] || more[i]));
        }
    }
}
