// Ownership of engines, checks before orders, hysteresis and time slots at the weight store.
#include "orders/engineorderplanner.h"

#include "framework/global/hashing.h"
#include "orders/fencing.h"

#include <algorithm>

namespace magnolia::orders
{

namespace
{

std::optional<std::string> findOwner(const std::string &key, const std::vector<std::string> &members)
{
    const auto index = rendezvousOwner(key, members);
    return index ? std::optional(members[*index]) : std::nullopt;
}

bool isDestructive(const EngineState &state, const DesiredState &desired)
{
    return !state.current.model.isEmpty() && state.current != desired;
}

} // namespace

EngineOrderPlanner::EngineOrderPlanner(InstanceId self, OrderParameters parameters)
    : m_self(std::move(self))
    , m_parameters(parameters)
{
}

void EngineOrderPlanner::applyList(const PublishedList &list, ClockReading now)
{
    m_timeline.apply(list, now.wall + m_parameters.maxClockSkew);
    m_timeline.removeBefore(now.wall - 4 * (m_parameters.settledListAge + 2 * m_parameters.maxClockSkew));
}

void EngineOrderPlanner::setView(const OrderView &view)
{
    m_view = view;
}

void EngineOrderPlanner::recordReport(const UpstreamId &engine, const EngineState &state, ClockReading now)
{
    EngineRecord &record = m_engines[engine];
    const bool isContinuous = now.mono - record.observedAt <= 2 * m_parameters.reportValidity;
    if (!isContinuous || state.current != record.state.current) {
        record.stableSince = now.mono;
    }
    record.state = state;
    record.observedAt = now.mono;
}

std::span<const ListPeriod> EngineOrderPlanner::settledPeriods(WallTime before, Milliseconds duration) const
{
    const WallTime to = before - m_parameters.settledListAge;
    return m_timeline.periodsCovering(to - duration, to);
}

bool EngineOrderPlanner::isOwner(const UpstreamId &engine, ClockReading now) const
{
    if (!m_parameters.safeguards.usesSettledList) {
        const ListPeriod *newest = m_timeline.newest();
        return newest != nullptr && findOwner(engine.value(), newest->members) == m_self.value();
    }
    // Entries whose clocks differ by at most the maximum skew examine overlapping periods, so two cannot both be owner.
    const auto periods = settledPeriods(now.wall, m_parameters.takeoverDelay());
    return !periods.empty() && std::all_of(periods.begin(), periods.end(), [&](const ListPeriod &period) {
        return findOwner(engine.value(), period.members) == m_self.value();
    });
}

Result<std::optional<EngineOrder>> EngineOrderPlanner::dueOrder(
    const UpstreamId &engine, const DesiredState &desired, ClockReading now) const
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end() || !isOwner(engine, now)) {
        return makeError(
            ResultCode::OrderViewInDoubt, "engine " + engine.value() + " is not certainly owned by this instance");
    }
    const EngineRecord &record = it->second;
    const FencingNumber fencing = fencingNumberFor(record, now);
    if (auto check = checkReport(record, fencing, now); !check) {
        return tl::unexpected(check.error());
    }
    if (record.state.current == desired || isTooSoon(record, desired, now)) {
        return std::optional<EngineOrder>();
    }
    const EngineOrder order{fencing, desired, isDestructive(record.state, desired)};
    if (order.isDestructive) {
        if (auto check = checkViewConfirmed(now); !check) {
            return tl::unexpected(check.error());
        }
    }
    return std::optional(order);
}

Result<void> EngineOrderPlanner::confirmDispatch(const UpstreamId &engine, const EngineOrder &order, ClockReading now)
{
    const auto current = dueOrder(engine, order.desired, now);
    if (!current) {
        return tl::unexpected(current.error());
    }
    if (!*current || (*current)->fencing != order.fencing) {
        return makeError(ResultCode::OrderViewInDoubt, "the order is no longer due or its fencing number has changed");
    }
    const auto slot = weightStoreSlot(now);
    if (!slot) {
        return tl::unexpected(slot.error());
    }
    m_lastUsedSlot = *slot;
    EngineRecord &record = m_engines[engine];
    record.orderedAt = now.mono;
    record.lastOrder = order.desired;
    return {};
}

FencingNumber EngineOrderPlanner::fencingNumberFor(const EngineRecord &record, ClockReading now) const
{
    if (!m_parameters.safeguards.usesFencing) {
        return record.state.highestFencing + FencingNumber(1);
    }
    const auto periods = settledPeriods(now.wall, m_parameters.takeoverDelay());
    const ListPeriod &period = periods.empty() ? *m_timeline.newest() : periods.back();
    return fencingNumber(m_view.configuration, period.lastRevision);
}

Result<void> EngineOrderPlanner::checkReport(const EngineRecord &record, FencingNumber fencing, ClockReading now) const
{
    if (now.mono - record.observedAt > m_parameters.reportValidity) {
        return makeError(ResultCode::OrderViewInDoubt, "the engine's report is too old");
    }
    // An engine that reports fencing numbers without checking them still shows that this entry's information is
    // outdated.
    if (m_parameters.safeguards.usesFencing && record.state.highestFencing > fencing) {
        return makeError(ResultCode::OrderFenced, "the engine has accepted an order of a newer configuration or list");
    }
    return {};
}

Result<void> EngineOrderPlanner::checkViewConfirmed(ClockReading now) const
{
    if (!m_parameters.safeguards.requiresConfirmedView) {
        return {};
    }
    if (now.mono - m_view.configurationConfirmedAt > m_parameters.configurationValidity) {
        return makeError(ResultCode::OrderViewInDoubt, "the configuration was not recently confirmed as the newest");
    }
    const ListPeriod *newest = m_timeline.newest();
    const std::size_t listedCount = newest == nullptr ? 0 : newest->members.size();
    // Requires contact to a majority of the listed entries, including itself: at most one side of a partition has one.
    if (2 * (m_view.reachablePeerCount + 1) <= listedCount) {
        return makeError(ResultCode::OrderViewInDoubt, "no majority of the listed entries is reachable");
    }
    return {};
}

bool EngineOrderPlanner::isTooSoon(const EngineRecord &record, const DesiredState &desired, ClockReading now) const
{
    if (!m_parameters.safeguards.usesHysteresis) {
        return false;
    }
    const bool isRepeat = record.orderedAt && record.lastOrder == desired;
    if (isRepeat && now.mono - *record.orderedAt < m_parameters.minRepeatInterval) {
        return true;
    }
    return now.mono - record.stableSince < m_parameters.minDifferenceTime;
}

Result<std::int64_t> EngineOrderPlanner::weightStoreSlot(ClockReading now) const
{
    const std::int64_t width = m_parameters.slotWidth().count();
    const std::int64_t slot = now.wall.time_since_epoch().count() / width;
    if (!m_parameters.safeguards.usesWeightStoreSlots) {
        return slot;
    }
    const WallTime slotStart(Milliseconds(slot * width));
    // All entries examine the list of the same past time, whose timestamp is at most maxTimestampLag off, so at most
    // one entry owns the slot.
    const auto periods = settledPeriods(slotStart, m_parameters.maxTimestampLag);
    const std::string name = "weights-" + std::to_string(slot);
    const bool isOwnSlot
        = !periods.empty() && std::all_of(periods.begin(), periods.end(), [&](const ListPeriod &period) {
              return findOwner(name, period.members) == m_self.value();
          });
    if (!isOwnSlot || slot <= m_lastUsedSlot) {
        Error error{ResultCode::OrderRateLimited,
            "this time slot at the weight store belongs to another instance or is already used", Outcome::NotRun,
            m_parameters.slotWidth()};
        return tl::unexpected(std::move(error));
    }
    return slot;
}

} // namespace magnolia::orders
