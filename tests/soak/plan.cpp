// Seeded series.
#include "plan.h"

#include "framework/global/random.h"

namespace magnolia::soak
{

namespace
{

constexpr Milliseconds shortest{300};
constexpr std::uint64_t longestExtra = 3200;

} // namespace

std::string_view toString(Action action)
{
    switch (action) {
    case Action::StopGateway:
        return "stop a gateway";
    case Action::ReloadGateway:
        return "reload a gateway";
    case Action::ChangeConfiguration:
        return "change the configuration";
    case Action::ReplaceUpstream:
        return "replace an upstream";
    case Action::KillGateway:
        return "kill a gateway";
    case Action::PauseGateway:
        return "pause a gateway";
    case Action::KillAllGateways:
        return "kill all gateways";
    case Action::StoreBusy:
        return "store answers 503";
    case Action::StoreSilent:
        return "store is silent";
    case Action::StoreResetting:
        return "store resets connections";
    case Action::StoreForgets:
        return "store forgets its history";
    case Action::StoreLinkSilent:
        return "link to the store is silent";
    case Action::StoreLinkOneWay:
        return "link to the store is cut one way";
    case Action::StoreLinkSlow:
        return "link to the store is slow";
    case Action::UpstreamLinkSilent:
        return "link to an upstream is silent";
    case Action::UpstreamLinkOneWay:
        return "link to an upstream is cut one way";
    case Action::UpstreamLinkReset:
        return "connections to an upstream are reset";
    case Action::UpstreamCrash:
        return "an upstream crashes";
    case Action::UpstreamBreaking:
        return "an upstream breaks answers off";
    case Action::UpstreamFailing:
        return "an upstream answers 500";
    case Action::UpstreamShedding:
        return "an upstream refuses all";
    case Action::UpstreamHanging:
        return "an upstream hangs";
    }
    return "unknown";
}

std::vector<Fault> makePlan(const PlanParameters &parameters)
{
    Random random(parameters.seed);
    std::vector<Fault> plan;
    const Milliseconds end = parameters.plannedTime + parameters.troubleTime;
    Milliseconds at{500};
    while (true) {
        at += Milliseconds(
            static_cast<std::int64_t>(random.exponential(static_cast<double>(parameters.meanPause.count()))));
        if (at >= end) {
            return plan;
        }
        const bool isPlanned = at < parameters.plannedTime;
        const auto first = static_cast<std::uint64_t>(isPlanned ? Action::StopGateway : Action::KillGateway);
        const auto last = static_cast<std::uint64_t>(isPlanned ? Action::ReplaceUpstream : Action::UpstreamHanging);
        // A third of the trouble falls on planned work that goes on.
        const bool isMixed = !isPlanned && random.below(3) == 0;
        const std::uint64_t drawn = isMixed ? random.below(static_cast<std::uint64_t>(Action::ReplaceUpstream) + 1)
                                            : first + random.below(last - first + 1);
        plan.push_back({at, shortest + Milliseconds(random.below(longestExtra)), static_cast<Action>(drawn),
            random.below(1'000'000)});
    }
}

} // namespace magnolia::soak
