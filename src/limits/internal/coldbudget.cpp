// Implements the division of the budgets of cold upstreams.
#include "limits/coldbudget.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <cmath>

namespace magnolia::limits
{

namespace
{

/** Missing instances that a view has to be able to lack, as far as the budget allows. */
constexpr std::size_t minViewSlack = 3;
constexpr std::size_t viewSlackDivisor = 8;
/** Probability that the instances without a settled view pass the budget of an upstream, all of them started at once.
 */
constexpr double maxLotteryRisk = 1e-8;
/** Bound of the arithmetic. */
constexpr double maxRequestsPerSecond = 1e6;

/**
 * Returns the probability with which an instance without a settled view is a user. The number of users is Poisson
 * distributed with mean m, and P(users >= n) <= m^n / n! for n = budget + 1.
 */
double lotteryProbability(const ColdBudget &budget)
{
    const double n = static_cast<double>(budget.maxRequests) + 1;
    const double mean = std::exp((std::log(maxLotteryRisk) + std::lgamma(n + 1)) / n);
    return std::min(1.0, mean / maxColdInstances);
}

} // namespace

ColdBudget coldBudget(double requestsPerSecond, double ratio, double slack)
{
    const double bound = requestsPerSecond * ratio + slack;
    ColdBudget budget;
    // A comparison that fails for a value that is no number.
    if (!(bound >= 1)) {
        return budget;
    }
    budget.maxRequests = static_cast<std::size_t>(std::min(bound, maxRequestsPerSecond));
    if (budget.maxRequests < 2) {
        // Two users whose views differ by one instance would pass a bound of one request.
        return budget;
    }
    budget.viewSlack = std::min(std::max(minViewSlack, budget.maxRequests / viewSlackDivisor), budget.maxRequests - 1);
    budget.maxUsers = budget.maxRequests - budget.viewSlack;
    return budget;
}

std::uint64_t coldUserWeight(std::uint64_t upstream, std::string_view instance)
{
    return stableHash(instance, upstream);
}

std::size_t coldPart(std::uint64_t upstream, std::string_view instance, const ColdView &view, const ColdBudget &budget)
{
    if (budget.maxUsers == 0) {
        return 0;
    }
    const std::uint64_t ownWeight = coldUserWeight(upstream, instance);
    if (!view.isSettled) {
        constexpr double weightRange = 18446744073709551616.0;
        return static_cast<double>(ownWeight) >= weightRange * (1 - lotteryProbability(budget)) ? 1 : 0;
    }
    std::size_t higherCount = 0;
    for (const std::string &it : view.instances) {
        higherCount += it != instance && coldUserWeight(upstream, it) > ownWeight ? 1 : 0;
    }
    if (higherCount >= budget.maxUsers) {
        return 0;
    }
    // Instances whose views lack up to `viewSlack` of n instances send at most budget / n each.
    return std::max<std::size_t>(1, budget.maxRequests / (view.instances.size() + budget.viewSlack));
}

} // namespace magnolia::limits
