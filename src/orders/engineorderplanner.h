// Plans orders to engines without a leader: which instance owns an engine, which order is due, and when to send none.
// A pure state machine: the caller passes in lists, reports and the time. Not thread-safe; the caller locks.
#pragma once

#include "blackboard/types/publishedlist.h"
#include "framework/global/error.h"
#include "orders/listtimeline.h"
#include "orders/types/engineorder.h"
#include "orders/types/enginestate.h"
#include "orders/types/orderparameters.h"
#include "orders/types/orderview.h"

#include <map>
#include <optional>

namespace magnolia::orders
{

class EngineOrderPlanner
{
public:
    EngineOrderPlanner(InstanceId self, OrderParameters parameters);

    void applyList(const PublishedList &list, ClockReading now);
    void setView(const OrderView &view);
    /** Records an engine's report that was requested at `now`. */
    void recordReport(const UpstreamId &engine, const EngineState &state, ClockReading now);

    /** Whether this instance alone may send orders to `engine` now. Only then does the executor read its state. */
    [[nodiscard]] bool isOwner(const UpstreamId &engine, ClockReading now) const;

    /**
     * The order that is due for `engine`; empty if none is. Errors: OrderViewInDoubt (7002) if this instance is not
     * certain to own it, its report is too old, or a destructive order would rely on an unconfirmed view; OrderFenced
     * (7001) if the engine has accepted an order of a newer configuration or list.
     */
    [[nodiscard]] Result<std::optional<EngineOrder>> dueOrder(
        const UpstreamId &engine, const DesiredState &desired, ClockReading now) const;
    /**
     * The last check before the first byte of an order may be sent, with a new reading of the clocks. Errors: those of
     * `dueOrder`, and OrderRateLimited (7003) outside this instance's time slot at the weight store.
     */
    [[nodiscard]] Result<void> confirmDispatch(const UpstreamId &engine, const EngineOrder &order, ClockReading now);

private:
    struct EngineRecord
    {
        EngineState state;
        MonoTime observedAt{};
        /** Since when the engine's reports have shown the same state without interruption. */
        MonoTime stableSince{};
        std::optional<MonoTime> orderedAt;
        DesiredState lastOrder;
    };

    [[nodiscard]] std::span<const ListPeriod> settledPeriods(WallTime before, Milliseconds duration) const;
    [[nodiscard]] FencingNumber fencingNumberFor(const EngineRecord &record, ClockReading now) const;
    [[nodiscard]] Result<void> checkReport(const EngineRecord &record, FencingNumber fencing, ClockReading now) const;
    [[nodiscard]] Result<void> checkViewConfirmed(ClockReading now) const;
    [[nodiscard]] bool isTooSoon(const EngineRecord &record, const DesiredState &desired, ClockReading now) const;
    [[nodiscard]] Result<std::int64_t> weightStoreSlot(ClockReading now) const;

    InstanceId m_self;
    OrderParameters m_parameters;
    ListTimeline m_timeline;
    OrderView m_view;
    std::map<UpstreamId, EngineRecord> m_engines;
    // Invariant: the last time slot used at the weight store; a slot is used at most once.
    std::int64_t m_lastUsedSlot = -1;
};

} // namespace magnolia::orders
