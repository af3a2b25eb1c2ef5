// Tests how many requests are served on time under each policy, with the load that the placement policy is made for.
#include "experiment.h"
#include "hindsight.h"
#include "outcomes.h"
#include "policies.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace magnolia;
using namespace magnolia::bench;

namespace
{

constexpr double seconds = 64;

Workload readWorkloadFile(const std::string &name)
{
    std::ifstream file(std::string(WORKLOADS) + '/' + name + ".json");
    std::ostringstream text;
    text << file.rdbuf();
    auto workload = parseWorkload(text.str());
    REQUIRE(workload);
    return *workload;
}

RunSummary run(const Workload &workload, const std::string &policy, std::uint64_t seed)
{
    const auto arrivals = makeArrivals(workload, seconds, seed);
    auto experiment = Experiment::make(workload, policy, arrivals, seed);
    REQUIRE(experiment);
    const auto outcomes = (*experiment)->run();
    return summarise(workload, outcomes, (*experiment)->busyShare());
}

} // namespace

TEST_CASE("every arrival is answered or abandoned within its retries under every policy")
{
    const Workload workload = readWorkloadFile("mixed");
    for (const std::string &policy : policyNames()) {
        INFO(policy);
        const auto arrivals = makeArrivals(workload, seconds, 1);
        auto experiment = Experiment::make(workload, policy, arrivals, 1);
        REQUIRE(experiment);
        for (const bench::Outcome &it : (*experiment)->run()) {
            CHECK((it.isDone() || it.isAbandoned));
            CHECK(it.attempts <= workload.classes[it.arrival->promptClass].maxRetries + 1);
        }
    }
}

TEST_CASE("an experiment gives the same result for the same seed")
{
    const Workload workload = readWorkloadFile("mixed");
    const RunSummary first = run(workload, "choice", 5);
    const RunSummary second = run(workload, "choice", 5);
    CHECK(first.served == second.served);
    CHECK(first.onTime == second.onTime);
}

TEST_CASE("an unknown policy is refused with SettingsInvalid")
{
    const Workload workload = readWorkloadFile("mixed");
    const std::vector<Arrival> noArrivals;
    const auto experiment = Experiment::make(workload, "best", noArrivals, 1);
    REQUIRE_FALSE(experiment);
    CHECK(experiment.error().code == ResultCode::SettingsInvalid);
}

TEST_CASE(
    "with peaks of long and short prompts the product policy serves more callers, and more on time, than simple ones")
{
    const Workload workload = readWorkloadFile("mixed");
    double maxFirstEventP95Ms = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const RunSummary choice = run(workload, "choice", seed);
        for (const char *const simple : {"round-robin", "least-outstanding", "power-of-two", "fixed-lanes"}) {
            INFO(simple << " seed " << seed);
            const RunSummary other = run(workload, simple, seed);
            CHECK(choice.served > other.served);
            CHECK(choice.onTime > other.onTime);
        }
        // Short prompts meet their target beside long ones, and the longest prompts are not neglected.
        CHECK(choice.classes[0].served > 0.8);
        CHECK(choice.classes[2].worstQuartileServed > 0.3);
        maxFirstEventP95Ms = std::max(maxFirstEventP95Ms, choice.classes[0].firstEventP95Ms);
    }
    // The p95 is within the target of 300 ms.
    CHECK(maxFirstEventP95Ms < 300);
}

TEST_CASE("the hindsight search serves at least as many callers as the policy with full knowledge")
{
    const Workload workload = readWorkloadFile("mixed");
    constexpr double fewSeconds = 40;
    const auto arrivals = makeArrivals(workload, fewSeconds, 2);
    auto experiment = Experiment::make(workload, "choice-full-knowledge", arrivals, 2);
    REQUIRE(experiment);
    const auto outcomes = (*experiment)->run();
    const double fullKnowledge = summarise(workload, outcomes, 0).served;
    CHECK(summarise(workload, runInHindsight(workload, arrivals, 2), 0).served >= fullKnowledge);
}

TEST_CASE("a prompt that only all engines together can prefill in time does not make a peak of short prompts late")
{
    // Guards against a placement on all engines just before a peak. A prompt of 779,316 tokens was refused once and
    // retried at the end of a peak of long prompts, when the engines were idle. After its placement 70% of the short
    // prompts of the next five seconds were late.
    Workload workload = readWorkloadFile("mixed");
    workload.classes[1].ratePerSecond = 0;
    workload.classes[2].ratePerSecond = 0;
    constexpr double baseRatePerSecond = 12;
    constexpr double peakRatePerSecond = 75;
    constexpr double peakStartSecond = 4;
    workload.classes[0].ratePerSecond = baseRatePerSecond;
    workload.peaks = {{peakStartSecond, 6, {{"short", peakRatePerSecond / baseRatePerSecond}}}};
    workload.peakPeriodSeconds = 0;
    auto arrivals = makeArrivals(workload, peakStartSecond + 6, 3);
    constexpr double longPromptTokens = 779'316;
    const auto at = MonoTime(Milliseconds(3400));
    const auto position = std::find_if(arrivals.begin(), arrivals.end(), [&](const Arrival &it) {
        return it.at > at;
    });
    arrivals.insert(position, Arrival{0, 2, at, longPromptTokens, 600, 600});
    // The time that is left of the target after the refusal.
    workload.classes[2].firstEventTarget = Milliseconds(1000);
    auto experiment = Experiment::make(workload, "choice", arrivals, 1);
    REQUIRE(experiment);
    const auto outcomes = (*experiment)->run();
    const RunSummary summary = summarise(workload, outcomes, 0);
    CHECK(summary.classes[0].firstEventP95Ms < 300);
}

TEST_CASE("hundreds of instances serve nearly as much with one engine less, at every number of engines")
{
    // Guards against a threshold: with 24 engines a cell required, the removal of one of 96 made all cells share all
    // engines without knowing each other's placements.
    Workload workload = readWorkloadFile("large");
    // The fewest engines still carry the load, so that only the division among the cells makes a difference.
    constexpr double rateFactor = 0.75;
    for (PromptClass &it : workload.classes) {
        it.ratePerSecond *= rateFactor;
    }
    constexpr double fewSeconds = 14;
    const auto summaryWith = [&](std::size_t engines) {
        workload.engineCount = engines;
        const auto arrivals = makeArrivals(workload, fewSeconds, 1);
        auto experiment = Experiment::make(workload, "choice", arrivals, 1);
        REQUIRE(experiment);
        return summarise(workload, (*experiment)->run(), 0);
    };
    RunSummary previous = summaryWith(100);
    for (const std::size_t engines : {98, 97, 96, 95, 94, 92, 88}) {
        const RunSummary summary = summaryWith(engines);
        INFO(engines << " engines, served " << summary.served << " after " << previous.served << ", on time "
                     << summary.onTime << " after " << previous.onTime);
        CHECK(summary.served > previous.served - 0.04);
        CHECK(summary.onTime > previous.onTime - 0.04);
        previous = summary;
    }
}

TEST_CASE("a fleet serves nearly as much just above the instance counts at which its cells divide")
{
    Workload workload = readWorkloadFile("large");
    constexpr double rateFactor = 0.75;
    for (PromptClass &it : workload.classes) {
        it.ratePerSecond *= rateFactor;
    }
    constexpr double fewSeconds = 14;
    const auto arrivals = makeArrivals(workload, fewSeconds, 2);
    const auto summaryWith = [&](std::size_t instances) {
        workload.instanceCount = instances;
        auto experiment = Experiment::make(workload, "choice", arrivals, 2);
        REQUIRE(experiment);
        return summarise(workload, (*experiment)->run(), 0);
    };
    RunSummary previous = summaryWith(80);
    for (const std::size_t instances : {96, 97, 192, 193, 295}) {
        const RunSummary summary = summaryWith(instances);
        INFO(instances << " instances, served " << summary.served << " after " << previous.served << ", on time "
                       << summary.onTime << " after " << previous.onTime);
        CHECK(summary.served > previous.served - 0.04);
        CHECK(summary.onTime > previous.onTime - 0.04);
        previous = summary;
    }
}

TEST_CASE("the limits of engines in need are kept by all instances, and callers lose little by it")
{
    Workload workload = readWorkloadFile("mixed");
    constexpr double runSeconds = 30;
    const auto arrivals = makeArrivals(workload, runSeconds, 4);
    const auto play = [&](const std::string &policy, bool isWithinLimits) {
        auto experiment = Experiment::make(workload, policy, arrivals, 4);
        REQUIRE(experiment);
        const auto outcomes = (*experiment)->run();
        bool isKept = true;
        for (const EngineLimit &limit : workload.limits) {
            const auto &times = (*experiment)->placementTimes(limit.engine);
            const MonoTime from(Milliseconds(static_cast<std::int64_t>((limit.startSecond + 3) * 1000)));
            constexpr Milliseconds window{4000};
            const double allowed = 1.5 * limit.requestsPerSecond * 4 + 5;
            for (auto it = times.begin(); it != times.end(); ++it) {
                const auto end = std::find_if(it, times.end(), [&](MonoTime at) {
                    return at - *it >= window;
                });
                isKept = isKept && (*it < from || static_cast<double>(end - it) <= allowed);
            }
        }
        CHECK(isKept == isWithinLimits);
        return summarise(workload, outcomes, 0);
    };
    const RunSummary unlimited = play("choice", true);
    // Engines from the start, the middle and the end of the order in which the instances fill them.
    workload.limits = {{0, 5, 25, 1.4}, {6, 5, 25, 1.0}, {13, 5, 25, 0.5}};
    const RunSummary limited = play("choice", true);
    CHECK(limited.served > unlimited.served - 0.1);
    CHECK(limited.onTime > unlimited.onTime - 0.1);
    play("round-robin", false);
}

TEST_CASE("with uneven engines and views out of date callers are served within 5 in 100 of complete information")
{
    // Guards against slow engines that are not known: each of many instances sends an engine too few requests to
    // measure it alone.
    const auto name = GENERATE(as<std::string>{}, "deployment-a", "deployment-b");
    CAPTURE(name);
    const Workload workload = readWorkloadFile(name);
    // Half of a period, which has a turn of the mix, two bursts and a restart.
    constexpr double halfPeriod = 24;
    const auto arrivals = makeArrivals(workload, halfPeriod, 1);
    const auto summaryOf = [&](const std::string &policy) {
        auto experiment = Experiment::make(workload, policy, arrivals, 1);
        REQUIRE(experiment);
        return summarise(workload, (*experiment)->run(), 0);
    };
    constexpr double minShareOfFullKnowledge = 0.95;
    const RunSummary choice = summaryOf("choice");
    const RunSummary fullKnowledge = summaryOf("choice-full-knowledge");
    CHECK(choice.served >= minShareOfFullKnowledge * fullKnowledge.served);
    CHECK(choice.onTime >= minShareOfFullKnowledge * fullKnowledge.onTime);
}
