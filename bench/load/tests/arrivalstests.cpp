// Tests the rate, prompt lengths, organisations and reproducibility of the arrivals of the open loop.
#include "../arrivals.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace magnolia;
using namespace magnolia::load;

namespace
{

std::vector<Arrival> draw(const ArrivalOptions &options, std::uint64_t seed)
{
    Random random(seed);
    return makeArrivals(options, random);
}

ArrivalOptions longRun()
{
    ArrivalOptions options;
    options.ratePerSecond = 100;
    options.duration = Seconds(200);
    return options;
}

double share(const std::vector<Arrival> &arrivals, const std::function<bool(const Arrival &)> &predicate)
{
    const auto count = std::count_if(arrivals.begin(), arrivals.end(), predicate);
    return static_cast<double>(count) / static_cast<double>(arrivals.size());
}

} // namespace

TEST_CASE("arrivals are in order and have the configured rate and share of long prompts")
{
    const std::vector<Arrival> arrivals = draw(longRun(), 1);
    CHECK(static_cast<double>(arrivals.size()) == Approx(20'000).epsilon(0.05));
    CHECK(std::is_sorted(arrivals.begin(), arrivals.end(), [](const Arrival &a, const Arrival &b) {
        return a.at < b.at;
    }));
    CHECK(share(arrivals, [](const Arrival &it) {
        return it.promptTokens > longPromptThresholdTokens;
    }) == Approx(0.02).margin(0.005));
    CHECK(std::all_of(arrivals.begin(), arrivals.end(), [](const Arrival &it) {
        return it.promptTokens >= minPromptTokens && it.promptTokens <= maxPromptTokens;
    }));
}

TEST_CASE("requests are distributed over organisations by Zipf's law")
{
    const std::vector<Arrival> arrivals = draw(longRun(), 2);
    // The share of rank 0 is 1 / H(10), where the harmonic number H(10) is 2.929.
    CHECK(share(arrivals, [](const Arrival &it) {
        return it.organisation == 0;
    }) == Approx(1 / 2.929).margin(0.02));
}

TEST_CASE("the rate rises to a peak and falls back within two seconds")
{
    ArrivalOptions options;
    options.peakFactor = 5;
    options.peakPeriod = Seconds(20);
    CHECK(demandFactor(options, 0) == Approx(1));
    CHECK(demandFactor(options, 10) == Approx(1));
    CHECK(demandFactor(options, 11) == Approx(3));
    CHECK(demandFactor(options, 12) == Approx(5));
    CHECK(demandFactor(options, 15) == Approx(5));
    CHECK(demandFactor(options, 17) == Approx(1));
    CHECK(demandFactor(options, 35) == Approx(5));
}

TEST_CASE("the same seed gives the same arrivals")
{
    const std::vector<Arrival> first = draw(longRun(), 7);
    const std::vector<Arrival> second = draw(longRun(), 7);
    REQUIRE(first.size() == second.size());
    CHECK(std::equal(first.begin(), first.end(), second.begin(), [](const Arrival &a, const Arrival &b) {
        return a.at == b.at && a.promptTokens == b.promptTokens && a.organisation == b.organisation;
    }));
    CHECK(first.size() != draw(longRun(), 8).size());
}
