// Shares of the retry budgets of a fleet.
#include "limits/fleetretrybudgets.h"

#include <algorithm>

namespace magnolia::limits
{

namespace
{

/** Share of the slack that is used; the rest is left for instances that this one does not know of. */
constexpr double usableSlackShare = 0.8;

} // namespace

FleetRetryBudgets::FleetRetryBudgets(FleetRetryLimits limits, MonoTime startedAt)
    : m_limits(limits)
    , m_startedAt(startedAt)
{
}

double FleetRetryBudgets::maxBalance() const
{
    // A smaller maximum would never allow a retry.
    return std::max(1.0, m_slackShare);
}

RetryBudget &FleetRetryBudgets::of(const std::string &service)
{
    const auto known = m_budgets.find(service);
    if (known != m_budgets.end()) {
        return known->second;
    }
    RetryBudget budget;
    budget.ratio = m_limits.ratio;
    budget.maxBalance = maxBalance();
    budget.balance = m_isSlackUsable ? m_slackShare : 0;
    return m_budgets.emplace(service, budget).first->second;
}

bool FleetRetryBudgets::update(std::size_t instances, MonoTime now)
{
    const bool wasSlackUsable = m_isSlackUsable;
    const double previousShare = m_slackShare;
    m_isSlackUsable = now - m_startedAt >= m_limits.window;
    m_slackShare = m_limits.slack * usableSlackShare / static_cast<double>(std::max<std::size_t>(1, instances));
    for (auto &[service, budget] : m_budgets) {
        budget.maxBalance = maxBalance();
        const double credited = m_isSlackUsable && !wasSlackUsable ? budget.balance + m_slackShare : budget.balance;
        budget.balance = std::min(credited, budget.maxBalance);
    }
    return m_isSlackUsable != wasSlackUsable || m_slackShare != previousShare;
}

void FleetRetryBudgets::retain(const std::function<bool(const std::string &service)> &isUsed)
{
    std::erase_if(m_budgets, [&](const auto &it) {
        return !isUsed(it.first) && it.second.balance >= it.second.maxBalance;
    });
}

const std::map<std::string, RetryBudget> &FleetRetryBudgets::all() const
{
    return m_budgets;
}

double FleetRetryBudgets::slackShare() const
{
    return m_slackShare;
}

bool FleetRetryBudgets::isSlackUsable() const
{
    return m_isSlackUsable;
}

} // namespace magnolia::limits
