// Tests of the choice of an upstream, for each policy.
#include "fakefleet.h"

#include "framework/testing/schedule.h"
#include "observing/ownwork.h"
#include "routing/prefixhints.h"
#include "routing/routing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace magnolia;
using namespace magnolia::routing;
using magnolia::routing::testing::FakeFleet;
using magnolia::testing::forEachSeed;

namespace
{

constexpr RoutingPolicy allPolicies[] = {RoutingPolicy::SlackAware, RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastOutstanding, RoutingPolicy::PrefixAffinity};

std::set<std::string> namedUpstreams(const RoutingDecision &decision)
{
    std::set<std::string> ids{decision.chosen.upstream.value()};
    for (const RankedUpstream &it : decision.alternates) {
        ids.insert(it.upstream.value());
    }
    for (const RankedUpstream &it : decision.group) {
        ids.insert(it.upstream.value());
    }
    return ids;
}

} // namespace

TEST_CASE("no policy names an upstream that is leaving, avoided, already tried or of another model")
{
    forEachSeed(20, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        FakeFleet fleet(8, 2);
        fleet.add("foreign", InstanceRole::Engine, "other-model");
        fleet.list.instances[0].isLeaving = true;
        fleet.health.upstreams[UpstreamId("e1")].isLeaving = true;
        fleet.membership.leavingUpstreams[UpstreamId("e2")] = fleet.now;
        fleet.health.upstreams[UpstreamId("e3")].avoidUntil = fleet.now + Seconds(1);
        for (const RoutingPolicy policy : allPolicies) {
            RoutingContext context = fleet.context();
            context.policy = policy;
            context.roundRobinCursor = random.next();
            RoutingRequest request = fleet.request(random.chance(0.2) ? 500'000 : 2000, std::to_string(random.next()));
            request.triedUpstreams = {UpstreamId("e4")};
            const auto decision = chooseUpstream(request, context, fleet.now, random);
            REQUIRE(decision);
            for (const std::string &id : namedUpstreams(*decision)) {
                CHECK((id == "e5" || id == "e6" || id == "e7"));
            }
        }
    });
}

TEST_CASE("without a usable upstream the error says when the first becomes usable")
{
    Random random(1);
    FakeFleet fleet(1);
    fleet.health.upstreams[UpstreamId("e0")].avoidUntil = fleet.now + Milliseconds(700);
    const auto decision = chooseUpstream(fleet.request(2000), fleet.context(), fleet.now, random);
    REQUIRE_FALSE(decision);
    CHECK(decision.error().code == ResultCode::UpstreamNone);
    CHECK(decision.error().outcome == Outcome::NotRun);
    CHECK(*decision.error().retryAfter >= Milliseconds(700));
}

TEST_CASE("entries that decide at the same time on the same load reports do not all choose the idle engine")
{
    forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        FakeFleet fleet(15);
        for (int i = 1; i < 15; ++i) {
            fleet.load.upstreams[UpstreamId("e" + std::to_string(i))].queuedPrefill = Tokens(200 + random.below(800));
            fleet.load.upstreams[UpstreamId("e" + std::to_string(i))].waiting = 1;
        }
        std::map<std::string, int> chosen;
        constexpr int decisions = 90;
        for (int i = 0; i < decisions; ++i) {
            // Each decision is that of another entry, which has its own generator and no data of the others.
            Random own(seed * 1000 + static_cast<std::uint64_t>(i));
            const auto decision = chooseUpstream(fleet.request(2000), fleet.context(), fleet.now, own);
            REQUIRE(decision);
            ++chosen[decision->chosen.upstream.value()];
        }
        int maxCount = 0;
        for (const auto &[id, n] : chosen) {
            maxCount = std::max(maxCount, n);
        }
        CHECK(maxCount <= decisions / 4);
        CHECK(chosen.size() >= 6);
    });
}

TEST_CASE("own requests that no load report contains yet divert later requests to other engines")
{
    Random random(5);
    FakeFleet fleet(4);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        const RoutingRequest request = fleet.request(4000, std::to_string(i));
        const auto decision = chooseUpstream(request, fleet.context(), fleet.now, random);
        REQUIRE(decision);
        ++chosen[decision->chosen.upstream.value()];
        observing::onDispatched(fleet.ownWork, decision->chosen.upstream,
            {request.id, fleet.now, request.prompt, request.prompt, {}, false, false});
    }
    for (const auto &[id, n] : chosen) {
        INFO(id);
        CHECK(n >= 7);
        CHECK(n <= 13);
    }
}

TEST_CASE("a loaded engine is not chosen while others are idle, and engines without a load report can be chosen")
{
    Random random(6);
    FakeFleet fleet(6);
    fleet.load.upstreams[UpstreamId("e0")] = {8, 20, Tokens(60'000), Tokens(300'000), fleet.now};
    // e3 is set aside neither for long prompts nor for heavy organisations, so that it has no penalty.
    fleet.load.upstreams.erase(UpstreamId("e3"));
    const auto choose = [&fleet, &random] {
        std::map<std::string, int> chosen;
        for (int i = 0; i < 200; ++i) {
            const auto decision = chooseUpstream(fleet.request(2000), fleet.context(), fleet.now, random);
            REQUIRE(decision);
            ++chosen[decision->chosen.upstream.value()];
        }
        return chosen;
    };
    const auto oneMissing = choose();
    CHECK(oneMissing.count("e0") == 0);
    CHECK(oneMissing.count("e3") == 1);
    for (const char *const id : {"e1", "e2", "e4", "e5"}) {
        fleet.load.upstreams.erase(UpstreamId(id));
    }
    const auto allMissing = choose();
    CHECK(allMissing.count("e0") == 0);
    CHECK(allMissing.size() >= 3);
}

TEST_CASE("a request with less slack is more urgent, and the priority follows the absolute time")
{
    Random random(7);
    const FakeFleet fleet(3);
    const auto shortDecision = chooseUpstream(fleet.request(2000), fleet.context(), fleet.now, random);
    const auto longDecision = chooseUpstream(fleet.request(200'000), fleet.context(), fleet.now, random);
    REQUIRE(shortDecision);
    REQUIRE(longDecision);
    CHECK(shortDecision->priority < longDecision->priority);
    RoutingContext laterContext = fleet.context();
    laterContext.wallNow += Seconds(100);
    const auto laterShortDecision = chooseUpstream(fleet.request(2000), laterContext, fleet.now, random);
    REQUIRE(laterShortDecision);
    CHECK(laterShortDecision->priority > longDecision->priority);
}

TEST_CASE("a request goes to the engine that caches its prefix unless waiting there takes longer")
{
    Random random(8);
    FakeFleet fleet(5);
    recordPrefixStored(fleet.prefixHints, 42, {UpstreamId("e3"), Tokens(6000), fleet.now});
    RoutingRequest request = fleet.request(7000);
    request.prefixHash = 42;
    for (int i = 0; i < 20; ++i) {
        CHECK(chooseUpstream(request, fleet.context(), fleet.now, random)->chosen.upstream == UpstreamId("e3"));
    }
    fleet.load.upstreams[UpstreamId("e3")] = {8, 20, Tokens(60'000), Tokens(300'000), fleet.now};
    for (int i = 0; i < 20; ++i) {
        CHECK(chooseUpstream(request, fleet.context(), fleet.now, random)->chosen.upstream != UpstreamId("e3"));
    }
}

TEST_CASE("a prompt larger than an engine's memory gets a group of different engines, or an error if there are too few")
{
    Random random(9);
    FakeFleet fleet(6);
    const auto decision = chooseUpstream(fleet.request(1'000'000), fleet.context(), fleet.now, random);
    REQUIRE(decision);
    const std::size_t n = decision->group.size();
    CHECK(n >= 3);
    CHECK(decision->group.front().upstream == decision->chosen.upstream);
    CHECK(decision->memoryPerMember.count() * n >= 1'000'100);
    CHECK(decision->memoryPerMember <= Tokens(400'000));
    std::set<std::string> members;
    for (const RankedUpstream &it : decision->group) {
        members.insert(it.upstream.value());
    }
    CHECK(members.size() == n);

    FakeFleet small(2);
    const auto refused = chooseUpstream(small.request(1'000'000), small.context(), small.now, random);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ResultCode::MemoryGroupUnavailable);
    CHECK(refused.error().retryAfter.has_value());
}

TEST_CASE("a long prompt is refused if no engine has enough free memory")
{
    Random random(10);
    FakeFleet fleet(3);
    for (auto &[id, load] : fleet.load.upstreams) {
        load.freeMemory = Tokens(50'000);
    }
    const auto decision = chooseUpstream(fleet.request(200'000), fleet.context(), fleet.now, random);
    REQUIRE_FALSE(decision);
    CHECK(decision.error().code == ResultCode::MemoryExhausted);
}

TEST_CASE("a call of a plain service goes to a less loaded instance of that service")
{
    Random random(11);
    FakeFleet fleet(3, 3);
    fleet.load.upstreams[UpstreamId("s0")].waiting = 30;
    RoutingRequest request = fleet.request(0);
    request.kind = RequestKind::Service;
    request.target = "stock";
    for (int i = 0; i < 50; ++i) {
        const auto decision = chooseUpstream(request, fleet.context(), fleet.now, random);
        REQUIRE(decision);
        CHECK((decision->chosen.upstream == UpstreamId("s1") || decision->chosen.upstream == UpstreamId("s2")));
    }
}

TEST_CASE("with enough local engines other data centres are used only while the local ones would be too slow")
{
    Random random(12);
    FakeFleet fleet(40);
    for (int i = 0; i < 20; ++i) {
        fleet.list.instances[static_cast<std::size_t>(i)].dataCentre = DataCentreId("near");
    }
    RoutingContext context = fleet.context();
    context.ownDataCentre = DataCentreId("near");
    const auto isLocal = [](const RankedUpstream &it) {
        return std::stoi(it.upstream.value().substr(1)) < 20;
    };
    for (int i = 0; i < 50; ++i) {
        CHECK(isLocal(chooseUpstream(fleet.request(2000), context, fleet.now, random)->chosen));
    }
    for (int i = 0; i < 20; ++i) {
        fleet.load.upstreams[UpstreamId("e" + std::to_string(i))] = {8, 20, Tokens(60'000), Tokens(300'000), fleet.now};
    }
    for (int i = 0; i < 50; ++i) {
        CHECK_FALSE(isLocal(chooseUpstream(fleet.request(2000), context, fleet.now, random)->chosen));
    }
}
