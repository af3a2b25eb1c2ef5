// Sizing with hysteresis, and membership by rendezvous order.
#include "routing/longpromptengines.h"

#include "framework/global/hashing.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace magnolia::routing
{

namespace
{

// Long prefills get this share of their engines' rate; the rest is for short prompts that come there too.
constexpr double longUtilisation = 0.7;
// Short prompts need engines that are seldom busy: their targets leave little time to wait.
constexpr double shortUtilisation = 0.5;
constexpr Seconds steadyBeforeFewer{10};

/** What the other prompts leave. */
std::uint32_t mostEngines(const LongPromptDemand &demand)
{
    if (demand.engineCount <= 1) {
        return demand.engineCount;
    }
    const double forShort
        = std::max(1.0, std::ceil(demand.shortTokensPerSecond / (demand.prefillTokensPerSecond * shortUtilisation)));
    return static_cast<std::uint32_t>(std::max(1.0, static_cast<double>(demand.engineCount) - forShort));
}

std::uint32_t wantedEngines(const LongPromptDemand &demand)
{
    if (demand.engineCount <= 1) {
        return demand.engineCount;
    }
    const double wanted = std::ceil(demand.longTokensPerSecond / (demand.prefillTokensPerSecond * longUtilisation));
    return static_cast<std::uint32_t>(std::clamp(wanted, 1.0, static_cast<double>(mostEngines(demand))));
}

} // namespace

void adjustLongPromptEngines(LongPromptEngines &state, const LongPromptDemand &demand, MonoTime now)
{
    const std::uint32_t wanted = wantedEngines(demand);
    state.count = std::min(state.count, mostEngines(demand));
    if (wanted >= state.count) {
        state.count = wanted;
        state.surplusSince = MonoTime{};
        return;
    }
    if (state.surplusSince == MonoTime{}) {
        state.surplusSince = now;
    }
    if (now - state.surplusSince >= steadyBeforeFewer) {
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
