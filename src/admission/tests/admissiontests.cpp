// Tests of admission: refusal by prediction, retry-after times, learning, and removal of per-request state.
#include "admission/admissioncontroller.h"
#include "framework/testing/schedule.h"
#include "routing/tests/fakefleet.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::admission;
using magnolia::routing::testing::FakeFleet;
using magnolia::testing::forEachSeed;

namespace
{

AdmissionContext contextOf(const FakeFleet &fleet)
{
    AdmissionContext context;
    context.list = &fleet.list;
    context.load = &fleet.load;
    context.health = &fleet.health;
    context.membership = &fleet.membership;
    context.wallNow = WallTime(Seconds(1'700'000'000));
    return context;
}

void fillQueues(FakeFleet &fleet, std::uint64_t tokens)
{
    for (auto &[id, load] : fleet.load.upstreams) {
        load = {20, static_cast<std::uint32_t>(tokens / 3000), Tokens(tokens), Tokens(200'000), fleet.now};
    }
}

} // namespace

TEST_CASE("a request is admitted by an idle fleet and refused if the queue makes its target unreachable")
{
    FakeFleet fleet(3);
    AdmissionController controller(1);
    CHECK(controller.admit(fleet.request(2000), contextOf(fleet), fleet.now));
    fillQueues(fleet, 60'000);
    const auto refused = controller.admit(fleet.request(2000), contextOf(fleet), fleet.now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ResultCode::AdmissionTargetUnreachable);
    CHECK(refused.error().outcome == Outcome::NotRun);
    REQUIRE(refused.error().retryAfter);
}

TEST_CASE("a refused request is admitted after its retry-after time if the queue has drained meanwhile")
{
    forEachSeed(10, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        FakeFleet fleet(3);
        AdmissionController controller(seed);
        const std::uint64_t queued = 30'000 + seed * 5'000;
        // Without a recent admission the request would be admitted as a probe.
        CHECK(controller.admit(fleet.request(2000), contextOf(fleet), fleet.now));
        fillQueues(fleet, queued);
        const auto refused = controller.admit(fleet.request(2000), contextOf(fleet), fleet.now);
        REQUIRE_FALSE(refused);
        const Milliseconds wait = *refused.error().retryAfter;
        const auto drained = static_cast<std::uint64_t>(wait.count()) * 10;
        fleet.now += wait;
        fillQueues(fleet, queued - std::min(queued, drained));
        CHECK(controller.admit(fleet.request(2000), contextOf(fleet), fleet.now));
        CHECK(wait <= Seconds(30));
    });
}

TEST_CASE("retry-after times are spread, so that callers that are refused together do not retry together")
{
    FakeFleet fleet(3);
    fillQueues(fleet, 60'000);
    AdmissionController controller(3);
    std::set<Milliseconds> times;
    for (int i = 0; i < 50; ++i) {
        times.insert(*controller.admit(fleet.request(2000), contextOf(fleet), fleet.now).error().retryAfter);
    }
    CHECK(times.size() > 25);
}

TEST_CASE("while capacity is short a large organisation is refused and a small one is admitted")
{
    FakeFleet fleet(3);
    AdmissionController controller(7);
    const auto requestOf = [&fleet](const char *organisation, int number) {
        auto request = fleet.request(1000, organisation + std::to_string(number));
        request.organisation = OrganisationId(organisation);
        return request;
    };
    for (int i = 0; i < 20; ++i) {
        CHECK(controller.admit(requestOf("large", i), contextOf(fleet), fleet.now));
    }
    CHECK(controller.admit(requestOf("small", 0), contextOf(fleet), fleet.now));
    fillQueues(fleet, 6'500);
    const auto refused = controller.admit(requestOf("large", 20), contextOf(fleet), fleet.now);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ResultCode::AdmissionOrganisationShare);
    CHECK(controller.admit(requestOf("small", 1), contextOf(fleet), fleet.now));

    fleet.now += *refused.error().retryAfter;
    fillQueues(fleet, 6'500);
    CHECK(controller.admit(requestOf("large", 21), contextOf(fleet), fleet.now));
}

TEST_CASE("an idle fleet of unknown speed admits one request as a probe and no second one beside it")
{
    FakeFleet fleet(3);
    AdmissionController controller(6);
    // According to the prior this prompt takes 15 s.
    auto request = fleet.request(150'000, "first");
    request.firstTokenDue = fleet.now + Seconds(5);
    const auto first = controller.admit(request, contextOf(fleet), fleet.now);
    REQUIRE(first);
    request.id = RequestId("second");
    const auto second = controller.admit(request, contextOf(fleet), fleet.now);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == ResultCode::AdmissionTargetUnreachable);
}

TEST_CASE("while targets are unreachable one request is admitted as a probe every two seconds")
{
    FakeFleet fleet(3);
    AdmissionController controller(6);
    CHECK(controller.admit(fleet.request(2000), contextOf(fleet), fleet.now));
    int admitted = 0;
    for (int i = 0; i < 200; ++i) {
        fleet.now += Milliseconds(50);
        fillQueues(fleet, 90'000);
        admitted += controller.admit(fleet.request(2000, std::to_string(i)), contextOf(fleet), fleet.now) ? 1 : 0;
    }
    CHECK(admitted >= 4);
    CHECK(admitted <= 5);
}

TEST_CASE("admission learns from outcomes that engines became slower")
{
    FakeFleet fleet(1);
    AdmissionController controller(4);
    CHECK(controller.admit(fleet.request(6000), contextOf(fleet), fleet.now));
    for (int i = 0; i < 60; ++i) {
        const auto request = fleet.request(2000 + static_cast<std::uint64_t>(i % 5) * 1000, std::to_string(i));
        const auto admission = controller.admit(request, contextOf(fleet), fleet.now);
        routing::RoutingDecision decision;
        decision.chosen.upstream = UpstreamId("e0");
        controller.recordDispatch(request, admission ? admission->decision : decision, fleet.now);
        fleet.now += Milliseconds(request.prompt.count() / 2); // 2,000 tokens per second
        controller.recordFirstToken(request.id, fleet.now);
        controller.recordFinish(request.id, Tokens(10), fleet.now);
        fleet.load.upstreams[UpstreamId("e0")].measuredAt = fleet.now;
    }
    // The first request may be admitted as a probe.
    (void)controller.admit(fleet.request(6000), contextOf(fleet), fleet.now);
    CHECK_FALSE(controller.admit(fleet.request(6000), contextOf(fleet), fleet.now));
}

TEST_CASE("no request stays in flight after it ended, in any way and order")
{
    forEachSeed(20, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        FakeFleet fleet(5);
        AdmissionController controller(seed);
        std::vector<RequestId> open;
        for (int i = 0; i < 200; ++i) {
            fleet.now += Milliseconds(20);
            const auto request = fleet.request(random.chance(0.1) ? 600'000 : 2000, std::to_string(i));
            if (const auto admission = controller.admit(request, contextOf(fleet), fleet.now)) {
                controller.recordDispatch(request, admission->decision, fleet.now);
                open.push_back(request.id);
            }
            if (!open.empty() && random.chance(0.7)) {
                const RequestId id = open[random.below(open.size())];
                controller.recordFirstToken(id, fleet.now);
                random.chance(0.5) ? controller.recordFinish(id, Tokens(5), fleet.now)
                                   : controller.recordFailure(id, fleet.now);
                controller.recordFailure(id, fleet.now);
            }
        }
        for (const RequestId &id : open) {
            controller.recordFailure(id, fleet.now);
        }
        CHECK(controller.inFlightCount() == 0);
    });
}

TEST_CASE("retries to other upstreams are bounded by a share of new requests")
{
    FakeFleet fleet(5);
    AdmissionController controller(5, {.retryRatio = 0.1});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto request = fleet.request(1000, std::to_string(i));
        (void)controller.admit(request, contextOf(fleet), fleet.now);
        const auto retry = controller.retry(request, contextOf(fleet), fleet.now);
        retries += retry ? 1 : 0;
        if (!retry) {
            CHECK(retry.error().code == ResultCode::AdmissionRetryBudget);
        }
    }
    CHECK(retries <= 111);
}
