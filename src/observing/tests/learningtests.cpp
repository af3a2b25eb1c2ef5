// Tests of learning the speed of upstreams from request outcomes.
#include "framework/testing/schedule.h"
#include "observing/learning.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::observing;

namespace
{

const UpstreamId engine("engine-1");
const std::string model = "m";

/** Learns the outcomes of an engine that prefills `rate` tokens per second, ten requests per second for `seconds`. */
void learnOutcomes(LearnedRates &rates, double rate, MonoTime &now, int seconds, Random &random)
{
    for (int i = 0; i < seconds * 10; ++i) {
        now += Milliseconds(100);
        const Tokens prompt(2000 + random.below(6000));
        const FractionalSeconds took(static_cast<double>(prompt.count()) / rate + 0.02);
        learnFirstToken(rates, {engine, model, prompt, Tokens(0), false, false, took, took, {}}, now);
    }
}

} // namespace

TEST_CASE("the learned prefill rate of an upstream follows a change of its speed")
{
    testing::forEachSeed(5, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        LearnedRates rates;
        MonoTime now{Seconds(1)};
        learnOutcomes(rates, 30'000, now, 10, random);
        const double fast = ratesOf(rates, engine, model, now).shortPrefillTokensPerSecond;
        CHECK(fast == Approx(30'000).epsilon(0.2));
        learnOutcomes(rates, 5'000, now, 20, random);
        const double slow = ratesOf(rates, engine, model, now).shortPrefillTokensPerSecond;
        CHECK(slow == Approx(5'000).epsilon(0.2));
    });
}

TEST_CASE("an upstream without samples gets the rates of its model")
{
    Random random(3);
    LearnedRates rates;
    MonoTime now{Seconds(1)};
    learnOutcomes(rates, 40'000, now, 20, random);
    const UpstreamRates fresh = ratesOf(rates, UpstreamId("engine-2"), model, now);
    CHECK(fresh.shortPrefillTokensPerSecond == Approx(40'000).epsilon(0.2));
}

TEST_CASE("an upstream without an outcome for ten minutes is removed")
{
    Random random(4);
    LearnedRates rates;
    MonoTime now{Seconds(1)};
    learnOutcomes(rates, 40'000, now, 1, random);
    removeStaleUpstreams(rates, now + Seconds(599));
    CHECK(rates.upstreams.size() == 1);
    removeStaleUpstreams(rates, now + Seconds(601));
    CHECK(rates.upstreams.empty());
}

TEST_CASE("the error percentile approaches the error of predictions that are always too short")
{
    LearnedRates rates;
    const MonoTime now{Seconds(1)};
    for (int i = 0; i < 500; ++i) {
        learnFirstToken(rates,
            {engine, model, Tokens(3000), Tokens(0), false, false, FractionalSeconds(0.3), FractionalSeconds(0.1), {}},
            now);
    }
    CHECK(rates.firstTokenErrorP99.count() == Approx(0.2).margin(0.06));
}
