// Reconciliation of a mock engine: the order of the steps, and the cases in which nothing is sent.
#include "orders/orderexecutor.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

// Without this specialisation, trompeloeil compares a mock's result with a null pointer before it prints it.
template <>
void trompeloeil::print(std::ostream &os, const magnolia::Result<void> &result)
{
    os << (result ? "done" : result.error().detail);
}

using namespace magnolia;
using namespace magnolia::orders;

namespace
{

const UpstreamId engine("engine-1");
const DesiredState desiredState{ModelId("m"), "v1", "serve"};

class MockEngineOrderClient : public IEngineOrderClient
{
public:
    MAKE_MOCK1(readState, Result<EngineState>(const UpstreamId &), override);
    MAKE_MOCK3(sendOrder, Result<void>(const UpstreamId &, const EngineOrder &, const std::function<Result<void>()> &),
        override);
};

class ManualClock : public IClock
{
public:
    [[nodiscard]] MonoTime monotonicNow() const override
    {
        return time.mono;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return time.wall;
    }
    ClockReading time{WallTime(std::chrono::hours(24 * 20000)), MonoTime(Seconds(1000))};
};

/** The only entry of the list, which therefore owns all engines. */
struct Fixture
{
    Fixture()
        : planner(InstanceId("a"), testParameters())
        , executor(planner, engines, clock)
    {
        PublishedInstance instance;
        instance.id = "a";
        list.revision = 1;
        list.instances = {instance};
        for (int i = 0; i < 30; ++i) {
            advance(Seconds(1));
        }
    }
    static OrderParameters testParameters()
    {
        OrderParameters parameters;
        parameters.weightStore = {100'000, Milliseconds(1000), 0, Milliseconds(0)};
        return parameters;
    }
    void advance(Milliseconds duration)
    {
        clock.time.wall += duration;
        clock.time.mono += duration;
        list.generatedAt = clock.time.wall;
        planner.applyList(list, clock.time);
        planner.setView({Revision(1), clock.time.mono, 0});
    }
    /** Reconciles until the engine's state counts as stable; no order is sent meanwhile. */
    void reconcileWhileUnstable()
    {
        for (int i = 0; i < 2; ++i) {
            CHECK(executor.reconcile(engine, desiredState) == ReconcileOutcome::NothingDue);
            advance(Seconds(1));
        }
    }

    PublishedList list;
    ManualClock clock;
    MockEngineOrderClient engines;
    EngineOrderPlanner planner;
    OrderExecutor executor;
};

Result<void> sendIfAllowed(const std::function<Result<void>()> &mayDispatch)
{
    return mayDispatch();
}

} // namespace

TEST_CASE("an engine that differs from its desired state is read and is sent an order after the last check")
{
    Fixture it;
    ALLOW_CALL(it.engines, readState(engine)).RETURN(EngineState{});
    it.reconcileWhileUnstable();
    REQUIRE_CALL(it.engines, sendOrder(engine, trompeloeil::_, trompeloeil::_))
        .WITH(_2.desired == desiredState)
        .RETURN(sendIfAllowed(_3));
    CHECK(it.executor.reconcile(engine, desiredState) == ReconcileOutcome::Ordered);
}

TEST_CASE("an order is not sent if its sender is paused while it connects")
{
    Fixture it;
    ALLOW_CALL(it.engines, readState(engine)).RETURN(EngineState{});
    it.reconcileWhileUnstable();
    const auto pauseThenSend = [&it](const std::function<Result<void>()> &mayDispatch) {
        it.clock.time.wall += Seconds(10);
        it.clock.time.mono += Seconds(10);
        return mayDispatch();
    };
    REQUIRE_CALL(it.engines, sendOrder(engine, trompeloeil::_, trompeloeil::_)).LR_RETURN(pauseThenSend(_3));
    const auto end = it.executor.reconcile(engine, desiredState);
    REQUIRE_FALSE(end);
    CHECK(end.error().code == ResultCode::OrderViewInDoubt);
}

TEST_CASE("an entry that does not own the engine does not read it")
{
    Fixture it;
    PublishedInstance other;
    other.id = "b";
    it.list.revision = 2;
    it.list.instances = {other};
    for (int i = 0; i < 20; ++i) {
        it.advance(Seconds(1));
    }
    FORBID_CALL(it.engines, readState(trompeloeil::_));
    CHECK(it.executor.reconcile(engine, desiredState) == ReconcileOutcome::NotOwner);
}

TEST_CASE("a delayed report is too old for an order")
{
    Fixture it;
    const auto delayedReport = [&it] {
        it.advance(Seconds(3));
        return EngineState{};
    };
    ALLOW_CALL(it.engines, readState(engine)).LR_RETURN(delayedReport());
    FORBID_CALL(it.engines, sendOrder(trompeloeil::_, trompeloeil::_, trompeloeil::_));
    for (int i = 0; i < 5; ++i) {
        CHECK(it.executor.reconcile(engine, desiredState).error().code == ResultCode::OrderViewInDoubt);
    }
}
