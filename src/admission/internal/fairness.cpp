// Recent use fades sooner than the lasting use that the level is read from, so that waiting helps.
#include "admission/internal/fairness.h"

#include "limits/maxminshare.h"

#include <algorithm>
#include <cmath>

namespace magnolia::admission::internal
{

namespace
{

// Long prompts are few, so their window is longer.
constexpr Milliseconds shortWindow{5'000};
constexpr Milliseconds longWindow{60'000};
constexpr int lastingFactor = 4;
// Use below this share of the total neither counts as active nor is worth keeping.
constexpr double negligibleShare = 0.005;
constexpr Milliseconds delayPerShare{150};

Milliseconds recentWindow(CapacityPool pool)
{
    return pool == CapacityPool::Long ? longWindow : shortWindow;
}

Milliseconds lastingWindow(CapacityPool pool)
{
    return recentWindow(pool) * lastingFactor;
}

double rateOf(const limits::DecayingSum &sum, MonoTime now, Milliseconds window)
{
    return limits::valueAt(sum, now, window) / std::chrono::duration<double>(window).count();
}

} // namespace

ShareView viewShares(
    const AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double capacity, MonoTime now)
{
    ShareView view;
    std::vector<double> uses;
    std::vector<double> lasting;
    double lastingTotal = 0;
    for (const auto &[id, use] : state.organisations) {
        const auto it = use.admitted.find(pool);
        if (it == use.admitted.end()) {
            continue;
        }
        const double recent = rateOf(it->second.recent, now, recentWindow(pool));
        lasting.push_back(rateOf(it->second.longTerm, now, lastingWindow(pool)));
        lastingTotal += lasting.back();
        uses.push_back(std::max(recent, lasting.back()));
        view.total += uses.back();
        view.own = id == organisation ? recent : view.own;
    }
    for (const double use : uses) {
        view.active += use > view.total * negligibleShare ? 1 : 0;
    }
    view.level = limits::maxMinLevel(uses, view.total * capacity);
    view.lastingLevel = limits::maxMinLevel(lasting, lastingTotal * capacity);
    return view;
}

void noteAdmitted(
    AdmissionState &state, const OrganisationId &organisation, CapacityPool pool, double cost, MonoTime now)
{
    PoolUsage &use = state.organisations[organisation].admitted[pool];
    limits::add(use.recent, cost, now, recentWindow(pool));
    limits::add(use.longTerm, cost, now, lastingWindow(pool));
}

bool isForgotten(const OrganisationUsage &use, MonoTime now)
{
    return std::all_of(use.admitted.begin(), use.admitted.end(), [now](const auto &row) {
        return limits::valueAt(row.second.longTerm, now, lastingWindow(row.first)) < 1;
    });
}

bool isOneRequest(const ShareView &view, CapacityPool pool, double cost)
{
    return view.own * std::chrono::duration<double>(recentWindow(pool)).count() <= cost;
}

Milliseconds timeUntilLevel(double use, double level, CapacityPool pool)
{
    if (use <= level || level <= 0) {
        return recentWindow(pool);
    }
    // The level fades too, at worst as slowly as the lasting window: use / level falls at the difference.
    const double recent = 1.0 / static_cast<double>(recentWindow(pool).count());
    const double lasting = 1.0 / static_cast<double>(lastingWindow(pool).count());
    return Milliseconds(static_cast<std::int64_t>(std::log(use / level) / (recent - lasting)) + 1);
}

double equalShares(const ShareView &view)
{
    if (view.active < 2 || view.total <= 0) {
        return 0;
    }
    return view.own * view.active / view.total;
}

Milliseconds delayBeyondShare(const ShareView &view, Milliseconds most)
{
    const double shares = equalShares(view);
    if (shares <= 1) {
        return Milliseconds(0);
    }
    const auto delay
        = Milliseconds(static_cast<std::int64_t>(static_cast<double>(delayPerShare.count()) * (shares - 1)));
    return std::min(delay, std::max(most, Milliseconds(0)));
}

} // namespace magnolia::admission::internal
