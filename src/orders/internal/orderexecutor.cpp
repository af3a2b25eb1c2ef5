// Reconciliation of one engine with its desired state.
#include "orders/orderexecutor.h"

#include "framework/logging/log.h"

namespace magnolia::orders
{

OrderExecutor::OrderExecutor(EngineOrderPlanner &planner, IEngineOrderClient &engines, const IClock &clock)
    : m_planner(planner)
    , m_engines(engines)
    , m_clock(clock)
{
}

Result<ReconcileOutcome> OrderExecutor::reconcile(const UpstreamId &engine, const DesiredState &desired)
{
    if (!m_planner.isOwner(engine, now())) {
        return ReconcileOutcome::NotOwner;
    }
    // The report's age counts from before the request, as its answer may have been delayed.
    const ClockReading requestedAt = now();
    const auto state = m_engines.readState(engine);
    if (!state) {
        return tl::unexpected(state.error());
    }
    m_planner.recordReport(engine, *state, requestedAt);
    const auto order = m_planner.dueOrder(engine, desired, now());
    if (!order) {
        logging::write(logging::Level::Info, "orders", "held_back",
            {{"engine", std::string_view(engine.value())}, {"code", resultCodeInfo(order.error().code).name},
                {"detail", std::string_view(order.error().detail)}});
        return tl::unexpected(order.error());
    }
    return *order ? sendOrder(engine, **order) : ReconcileOutcome::NothingDue;
}

Result<ReconcileOutcome> OrderExecutor::sendOrder(const UpstreamId &engine, const EngineOrder &order)
{
    const auto mayDispatch = [&] {
        return m_planner.confirmDispatch(engine, order, now());
    };
    const Result<void> sent = m_engines.sendOrder(engine, order, mayDispatch);
    const std::string_view result = sent ? "given" : resultCodeInfo(sent.error().code).name;
    logging::write(logging::Level::Info, "orders", "order",
        {{"engine", std::string_view(engine.value())}, {"fencing", order.fencing.count()},
            {"model", std::string_view(order.desired.model.value())},
            {"version", std::string_view(order.desired.version)}, {"role", std::string_view(order.desired.role)},
            {"destructive", order.isDestructive}, {"result", result}});
    if (!sent) {
        return tl::unexpected(sent.error());
    }
    return ReconcileOutcome::Ordered;
}

ClockReading OrderExecutor::now() const
{
    return {m_clock.wallNow(), m_clock.monotonicNow()};
}

} // namespace magnolia::orders
