// Reconciles one engine with its desired state: reads its state, plans an order, checks again and sends it. Logs each
// order and each error that prevents one.
#pragma once

#include "framework/global/iclock.h"
#include "orders/engineorderplanner.h"
#include "orders/iengineorderclient.h"

namespace magnolia::orders
{

/** Result of a reconciliation without an error. */
enum class ReconcileOutcome {
    /** Another entry owns the engine, or no entry certainly does. */
    NotOwner,
    /** The engine has its desired state, or its order is not due yet. */
    NothingDue,
    Ordered,
};

class OrderExecutor
{
public:
    /** All references must outlive this object; the planner must be used by one thread at a time. */
    OrderExecutor(EngineOrderPlanner &planner, IEngineOrderClient &engines, const IClock &clock);

    /**
     * Reads the engine's state and sends an order if one is due. Call it about once a second for each engine. `desired`
     * must derive from the configuration revision in the planner's view. Errors: those of the planner and the client.
     */
    [[nodiscard]] Result<ReconcileOutcome> reconcile(const UpstreamId &engine, const DesiredState &desired);

private:
    [[nodiscard]] ClockReading now() const;
    [[nodiscard]] Result<ReconcileOutcome> sendOrder(const UpstreamId &engine, const EngineOrder &order);

    EngineOrderPlanner &m_planner;
    IEngineOrderClient &m_engines;
    const IClock &m_clock;
};

} // namespace magnolia::orders
