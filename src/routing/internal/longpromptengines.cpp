// Sizes the set of engines for long prompts with hysteresis, and selects its members by rendezvous order.
#include "routing/longpromptengines.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace magnolia::routing
{

namespace
{

// Share of these engines' prefill rate for long prompts; the rest is for short prompts that are sent there too.
constexpr double maxLongUtilisation = 0.7;
// Share of the other engines' prefill rate for short prompts; low, because their targets leave little time to wait.
constexpr double maxShortUtilisation = 0.5;
constexpr Seconds surplusBeforeDecrease{10};

/** Engines that short prompts do not need. */
std::uint32_t maxLongPromptEngines(const LongPromptDemand &demand)
{
    if (demand.engineCount <= 1) {
        return demand.engineCount;
    }
    const double forShort
        = std::max(1.0, std::ceil(demand.shortTokensPerSecond / (demand.prefillTokensPerSecond * maxShortUtilisation)));
    return static_cast<std::uint32_t>(std::max(1.0, static_cast<double>(demand.engineCount) - forShort));
}

std::uint32_t longPromptEnginesNeeded(const LongPromptDemand &demand)
{
    if (demand.engineCount <= 1) {
        return demand.engineCount;
    }
    const double needed = std::ceil(demand.longTokensPerSecond / (demand.prefillTokensPerSecond * maxLongUtilisation));
    return static_cast<std::uint32_t>(std::clamp(needed, 1.0, static_cast<double>(maxLongPromptEngines(demand))));
}

} // namespace

void adjustLongPromptEngines(LongPromptEngines &state, const LongPromptDemand &demand, MonoTime now)
{
    const std::uint32_t needed = longPromptEnginesNeeded(demand);
    state.count = std::min(state.count, maxLongPromptEngines(demand));
    if (needed >= state.count) {
        state.count = needed;
        state.surplusSince = MonoTime{};
        return;
    }
    if (state.surplusSince == MonoTime{}) {
        state.surplusSince = now;
    }
    if (now - state.surplusSince >= surplusBeforeDecrease) {
        --state.count;
        state.surplusSince = now;
    }
}

std::vector<bool> rendezvousMembers(
    std::span<const PublishedInstance *const> upstreams, const std::string &target, std::uint32_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    order.reserve(upstreams.size());
    const std::string key = "long:" + target;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        order.emplace_back(rendezvousWeight(key, upstreams[i]->id), i);
    }
    const std::size_t n = std::min<std::size_t>(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(), std::greater<>());
    std::vector<bool> members(upstreams.size(), false);
    for (std::size_t i = 0; i < n; ++i) {
        members[order[i].second] = true;
    }
    return members;
}

} // namespace magnolia::routing
