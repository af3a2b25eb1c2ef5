// Recent usage decays faster than the long-term usage behind the max-min level, so that an organisation gets below the
// level by waiting.
#include "admission/internal/fairness.h"

#include "limits/maxminshare.h"

#include <algorithm>
#include <cmath>

namespace magnolia::admission::internal
{

namespace
{

// Long prompts are rare, so their window is longer.
constexpr Milliseconds shortWindow{5'000};
constexpr Milliseconds longWindow{60'000};
constexpr int longTermFactor = 4;
// An organisation whose usage is below this share of the total does not count as active.
constexpr double negligibleShare = 0.005;
constexpr Milliseconds delayPerEqualShare{150};

Milliseconds recentWindow(CapacityPool pool)
{
    return pool == CapacityPool::Long ? longWindow : shortWindow;
}

Milliseconds longTermWindow(CapacityPool pool)
{
    return recentWindow(pool) * longTermFactor;
}

double rateOf(const limits::DecayingSum &sum, MonoTime now, Milliseconds window)
{
    return limits::valueAt(sum, now, window) / std::chrono::duration<double>(window).count();
}

} // namespace

PoolShares computePoolShares(
    const AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double capacity, MonoTime now)
{
    PoolShares shares;
    std::vector<double> usages;
    std::vector<double> longTermUsages;
    double longTermTotal = 0;
    for (const auto &[id, usage] : state.organisations) {
        const auto it = usage.admitted.find(pool);
        if (it == usage.admitted.end()) {
            continue;
        }
        const double recent = rateOf(it->second.recent, now, recentWindow(pool));
        longTermUsages.push_back(rateOf(it->second.longTerm, now, longTermWindow(pool)));
        longTermTotal += longTermUsages.back();
        usages.push_back(std::max(recent, longTermUsages.back()));
        shares.totalUsage += usages.back();
        shares.ownUsage = id == organisation ? recent : shares.ownUsage;
    }
    for (const double usage : usages) {
        shares.activeOrganisations += usage > shares.totalUsage * negligibleShare ? 1 : 0;
    }
    shares.maxMinLevel = limits::maxMinLevel(usages, shares.totalUsage * capacity);
    shares.longTermMaxMinLevel = limits::maxMinLevel(longTermUsages, longTermTotal * capacity);
    return shares;
}

void recordAdmitted(
    AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double cost, MonoTime now)
{
    PoolUsage &usage = state.organisations[organisation].admitted[pool];
    limits::add(usage.recent, cost, now, recentWindow(pool));
    limits::add(usage.longTerm, cost, now, longTermWindow(pool));
}

bool isNegligible(const OrganisationUsage &usage, MonoTime now)
{
    return std::all_of(usage.admitted.begin(), usage.admitted.end(), [now](const auto &row) {
        return limits::valueAt(row.second.longTerm, now, longTermWindow(row.first)) < 1;
    });
}

bool isWithinOneRequest(const PoolShares &shares, CapacityPool pool, double cost)
{
    return shares.ownUsage * std::chrono::duration<double>(recentWindow(pool)).count() <= cost;
}

Milliseconds timeUntilLevel(double usage, double level, CapacityPool pool)
{
    if (usage <= level || level <= 0) {
        return recentWindow(pool);
    }
    // The level decays too, in the worst case with the long-term window, so usage / level decays at the difference.
    const double recent = 1.0 / static_cast<double>(recentWindow(pool).count());
    const double longTerm = 1.0 / static_cast<double>(longTermWindow(pool).count());
    return Milliseconds(static_cast<std::int64_t>(std::log(usage / level) / (recent - longTerm)) + 1);
}

double equalShareMultiple(const PoolShares &shares)
{
    if (shares.activeOrganisations < 2 || shares.totalUsage <= 0) {
        return 0;
    }
    return shares.ownUsage * shares.activeOrganisations / shares.totalUsage;
}

Milliseconds fairnessDelayFor(const PoolShares &shares, Milliseconds maxDelay)
{
    const double multiple = equalShareMultiple(shares);
    if (multiple <= 1) {
        return Milliseconds(0);
    }
    const auto delay
        = Milliseconds(static_cast<std::int64_t>(static_cast<double>(delayPerEqualShare.count()) * (multiple - 1)));
    return std::min(delay, std::max(maxDelay, Milliseconds(0)));
}

} // namespace magnolia::admission::internal
