// Decisions of the order planner about one engine.
#include "orders/engineorderplanner.h"
#include "orders/fencing.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::orders;

namespace
{

constexpr WallTime epoch{std::chrono::hours(24 * 20000)};
const UpstreamId engine("engine-1");
const DesiredState desiredState{ModelId("m"), "v1", "serve"};

/** The only entry of the list, which has owned all engines for longer than the takeover delay. */
struct SoleOwner
{
    explicit SoleOwner(OrderParameters parameters = {})
        : planner(InstanceId("a"), parameters)
    {
        PublishedInstance instance;
        instance.id = "a";
        list.revision = 1;
        list.instances = {instance};
        for (int i = 0; i < 30; ++i) {
            advance(Seconds(1));
        }
    }
    void advance(Milliseconds duration)
    {
        now.wall += duration;
        now.mono += duration;
        list.generatedAt = now.wall;
        planner.applyList(list, now);
        planner.setView({Revision(1), now.mono, 0});
    }
    /** Records a report of `state` every second for `duration`. */
    void reportFor(const EngineState &state, Milliseconds duration)
    {
        for (Milliseconds it{0}; it < duration; it += Seconds(1)) {
            advance(Seconds(1));
            planner.recordReport(engine, state, now);
        }
    }
    /** Whether an order is due and may be sent. */
    bool sendsOrder(const DesiredState &desired = desiredState)
    {
        const auto due = planner.dueOrder(engine, desired, now);
        return due && *due && planner.confirmDispatch(engine, **due, now);
    }

    PublishedList list;
    ClockReading now{epoch, MonoTime(Seconds(1000))};
    EngineOrderPlanner planner;
};

EngineState servingState(const char *version)
{
    EngineState state;
    state.current = {ModelId("m"), version, "serve"};
    return state;
}

OrderParameters unlimitedWeightStore()
{
    OrderParameters parameters;
    parameters.weightStore = {100'000, Milliseconds(1000), 0, Milliseconds(0)};
    return parameters;
}

} // namespace

TEST_CASE("an engine in its desired state gets no order, another one gets an order once its state is stable")
{
    SoleOwner it(unlimitedWeightStore());
    it.reportFor(servingState("v1"), Seconds(10));
    CHECK_FALSE(it.sendsOrder());
    it.reportFor(servingState("v0"), Seconds(2));
    CHECK_FALSE(it.sendsOrder());
    it.reportFor(servingState("v0"), Seconds(2));
    CHECK(it.sendsOrder());
}

TEST_CASE("alternating reports cause no order with hysteresis, and cause orders without it")
{
    for (const bool hasHysteresis : {true, false}) {
        OrderParameters parameters = unlimitedWeightStore();
        parameters.safeguards.usesHysteresis = hasHysteresis;
        SoleOwner it(parameters);
        int orders = 0;
        for (int i = 0; i < 30; ++i) {
            it.reportFor(servingState(i % 2 == 0 ? "v0" : "v1"), Seconds(1));
            orders += it.sendsOrder() ? 1 : 0;
        }
        CHECK((orders == 0) == hasHysteresis);
    }
}

TEST_CASE("an order is repeated only after the interval, while an order of a new state is sent at once")
{
    SoleOwner it(unlimitedWeightStore());
    it.reportFor(servingState("v0"), Seconds(5));
    REQUIRE(it.sendsOrder());
    it.reportFor(servingState("v0"), Seconds(20));
    CHECK_FALSE(it.sendsOrder());
    CHECK(it.sendsOrder({ModelId("m"), "v2", "serve"}));
    it.reportFor(servingState("v0"), Seconds(31));
    CHECK(it.sendsOrder());
}

TEST_CASE("a destructive order needs a recently confirmed configuration, an order to an idle engine does not")
{
    SoleOwner it(unlimitedWeightStore());
    it.reportFor(servingState("v0"), Seconds(5));
    it.planner.setView({Revision(1), it.now.mono - Seconds(6), 0});
    CHECK(it.planner.dueOrder(engine, desiredState, it.now).error().code == ResultCode::OrderViewInDoubt);
    // An order to an engine that serves nothing is not destructive.
    it.planner.setView({Revision(1), it.now.mono, 0});
    it.reportFor({}, Seconds(5));
    it.planner.setView({Revision(1), it.now.mono - Seconds(60), 0});
    CHECK(it.sendsOrder());
}

TEST_CASE("an engine that reports a newer fencing number gets no order, even if it does not check numbers")
{
    SoleOwner it(unlimitedWeightStore());
    EngineState state = servingState("v0");
    state.highestFencing = fencingNumber(Revision(2), 1);
    it.reportFor(state, Seconds(5));
    CHECK(it.planner.dueOrder(engine, desiredState, it.now).error().code == ResultCode::OrderFenced);
}

TEST_CASE("a delayed order has a lower fencing number than the next owner's order, which highest + 1 would not ensure")
{
    for (const bool usesFencing : {true, false}) {
        OrderParameters parameters = unlimitedWeightStore();
        parameters.safeguards.usesFencing = usesFencing;
        SoleOwner previousOwner(parameters);
        previousOwner.reportFor({}, Seconds(5));
        const auto previousOrder = previousOwner.planner.dueOrder(engine, desiredState, previousOwner.now);
        REQUIRE(previousOrder);
        REQUIRE(*previousOrder);
        REQUIRE(previousOwner.planner.confirmDispatch(engine, **previousOrder, previousOwner.now));
        // The previous owner is paused here before it sends the order, and the list names another owner.
        SoleOwner nextOwner(parameters);
        nextOwner.list.revision = 2;
        nextOwner.advance(Seconds(30));
        nextOwner.reportFor({}, Seconds(5));
        nextOwner.planner.setView({Revision(2), nextOwner.now.mono, 0});
        const auto nextOrder = nextOwner.planner.dueOrder(engine, {ModelId("m"), "v2", "serve"}, nextOwner.now);
        REQUIRE(nextOrder);
        REQUIRE(*nextOrder);
        const bool isRejected = (*previousOrder)->fencing < (*nextOrder)->fencing;
        CHECK(isRejected == usesFencing);
    }
}

TEST_CASE("fencing numbers increase with the configuration, then with the list, and are exact in a double")
{
    CHECK(fencingNumber(Revision(2), 1) > fencingNumber(Revision(1), 1000));
    CHECK(fencingNumber(Revision(2), 2) > fencingNumber(Revision(2), 1));
    constexpr std::uint64_t exactInDouble = 1ULL << 53U;
    CHECK(fencingNumber(Revision((1U << 26U) - 1), (1U << 27U) - 1).count() < exactInDouble);
}

TEST_CASE("an owner whose list is outdated after a pause of a minute sends no order")
{
    SoleOwner it(unlimitedWeightStore());
    it.reportFor(servingState("v0"), Seconds(5));
    const auto due = it.planner.dueOrder(engine, desiredState, it.now);
    REQUIRE(due);
    REQUIRE(*due);
    it.now.wall += Seconds(60);
    it.now.mono += Seconds(60);
    CHECK_FALSE(it.planner.confirmDispatch(engine, **due, it.now));
}
