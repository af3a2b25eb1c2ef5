// Retry budgets of one instance by service: its share of the retries that all instances together may make.
//
// Each instance takes an equal part of the slack, by the number of instances that it knows of. That number is low right
// after a start, so the shares follow it. The slack is not used before the instance has run for a window: until then
// its previous run may have used the same part, since an instance that ends unexpectedly cannot hand over what is left.
#pragma once

#include "framework/global/types/time.h"
#include "limits/types/fleetretrylimits.h"
#include "limits/types/retrybudget.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace magnolia::limits
{

class FleetRetryBudgets
{
public:
    FleetRetryBudgets(FleetRetryLimits limits, MonoTime startedAt);

    /** Returns the budget of a service, which is opened if there is none. */
    [[nodiscard]] RetryBudget &of(const std::string &service);
    /**
     * Adapts all budgets to the number of instances, including this one, that may make retries. Returns whether the
     * slack of this instance has changed.
     */
    bool update(std::size_t instances, MonoTime now);
    /**
     * Removes the budgets of services that are no longer used, except those of which retries were taken: opened again,
     * these would be full.
     */
    void retain(const std::function<bool(const std::string &service)> &isUsed);

    [[nodiscard]] const std::map<std::string, RetryBudget> &all() const;
    /** Returns this instance's part of the slack, in retries for each service and window. */
    [[nodiscard]] double slackShare() const;
    /** Whether this instance has run for a window. */
    [[nodiscard]] bool isSlackUsable() const;

private:
    [[nodiscard]] double maxBalance() const;

    FleetRetryLimits m_limits;
    MonoTime m_startedAt;
    bool m_isSlackUsable = false;
    // Part of the slack that this instance may use for each service.
    double m_slackShare = 0;
    // Invariant: no budget holds more than `maxBalance()`.
    std::map<std::string, RetryBudget> m_budgets;
};

} // namespace magnolia::limits
