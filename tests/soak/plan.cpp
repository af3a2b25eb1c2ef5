// Generates the fault schedule.
#include "plan.h"

#include "framework/global/random.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace magnolia::soak
{

namespace
{

constexpr Milliseconds minFaultDuration{300};
constexpr std::uint64_t maxExtraDurationMs = 3200;
constexpr double crashProbability = 0.5;
/** Separates the draws of crashing requests from those of the other faults. */
constexpr std::uint64_t crashSeed = 0x6372617368ULL;
constexpr std::uint64_t cutSeed = 0x637574ULL;
constexpr std::uint64_t upgradeSeed = 0x75706772ULL;
constexpr std::uint64_t maxCuts = 2;
constexpr Milliseconds minCutDuration{1000};
constexpr std::uint64_t maxExtraCutMs = 6000;
constexpr std::uint64_t evacuationSeed = 0x65766163ULL;
constexpr std::uint64_t maxEvacuations = 2;
/** Longer than the documented time after which no request reaches the data centre, so that the judge has its turn. */
constexpr Milliseconds minEvacuationDuration{5500};
constexpr Milliseconds earliestEvacuation{500};
constexpr double silentStoreProbability = 0.5;

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
    case Action::StoreUnavailable:
        return "store answers 503";
    case Action::StoreSilent:
        return "store does not respond";
    case Action::StoreResetting:
        return "store resets connections";
    case Action::StoreHistoryLost:
        return "store loses its history";
    case Action::StoreReturnsOlder:
        return "store comes back from an older copy";
    case Action::StoreLinkSilent:
        return "link to the store drops all bytes";
    case Action::StoreLinkOneWay:
        return "link to the store drops bytes in one direction";
    case Action::StoreLinkSlow:
        return "link to the store is slow";
    case Action::UpstreamLinkSilent:
        return "link to an upstream drops all bytes";
    case Action::UpstreamLinkOneWay:
        return "link to an upstream drops bytes in one direction";
    case Action::UpstreamLinkReset:
        return "connections to an upstream are reset";
    case Action::UpstreamCrash:
        return "an upstream crashes";
    case Action::UpstreamTruncating:
        return "an upstream truncates responses";
    case Action::UpstreamFailing:
        return "an upstream answers 500";
    case Action::UpstreamRefusing:
        return "an upstream refuses all requests";
    case Action::UpstreamHanging:
        return "an upstream hangs";
    case Action::UpstreamTurningAway:
        return "an upstream turns gateways away for a time";
    case Action::UpstreamLimited:
        return "an upstream names a limit";
    case Action::CrashingPart:
        return "prompts with one part crash their engines";
    case Action::CrashingRequest:
        return "a request that comes again crashes its upstreams";
    case Action::CutGateways:
        return "gateways are cut from all upstreams";
    case Action::EvacuateDataCentre:
        return "a data centre is evacuated";
    case Action::EvacuateBesideSilentStore:
        return "a data centre is evacuated and the store falls silent";
    }
    return "unknown";
}

std::vector<Fault> makePlan(const PlanParameters &parameters)
{
    Random random(parameters.seed);
    std::vector<Fault> plan;
    const Milliseconds end = parameters.plannedPhaseDuration + parameters.faultPhaseDuration;
    Milliseconds at{500};
    while (true) {
        at += Milliseconds(
            static_cast<std::int64_t>(random.exponential(static_cast<double>(parameters.meanInterval.count()))));
        if (at >= end) {
            break;
        }
        const bool isPlanned = at < parameters.plannedPhaseDuration;
        const auto first = static_cast<std::uint64_t>(isPlanned ? Action::StopGateway : Action::KillGateway);
        const auto last = static_cast<std::uint64_t>(isPlanned ? Action::ReplaceUpstream : Action::UpstreamLimited);
        // One third of the actions in the fault phase are planned ones.
        const bool isPlannedAction = !isPlanned && random.below(3) == 0;
        const std::uint64_t actionNumber = isPlannedAction
            ? random.below(static_cast<std::uint64_t>(Action::ReplaceUpstream) + 1)
            : first + random.below(last - first + 1);
        plan.push_back({at, minFaultDuration + Milliseconds(random.below(maxExtraDurationMs)),
            static_cast<Action>(actionNumber), random.below(1'000'000)});
    }
    Random crashRandom(parameters.seed ^ crashSeed);
    for (const Action action : {Action::CrashingPart, Action::CrashingRequest}) {
        if (crashRandom.chance(crashProbability)) {
            const auto faultPhaseMs = static_cast<std::uint64_t>(parameters.faultPhaseDuration.count());
            plan.push_back({parameters.plannedPhaseDuration + Milliseconds(crashRandom.below(faultPhaseMs)),
                parameters.faultPhaseDuration, action, crashRandom.next()});
        }
    }
    Random cutRandom(parameters.seed ^ cutSeed);
    const std::uint64_t cutCount = cutRandom.below(maxCuts + 1);
    for (std::uint64_t i = 0; i < cutCount; ++i) {
        const auto faultPhaseMs = static_cast<std::uint64_t>(parameters.faultPhaseDuration.count());
        plan.push_back({parameters.plannedPhaseDuration + Milliseconds(cutRandom.below(faultPhaseMs)),
            minCutDuration + Milliseconds(cutRandom.below(maxExtraCutMs)), Action::CutGateways, cutRandom.next()});
    }
    Random evacuationRandom(parameters.seed ^ evacuationSeed);
    const std::uint64_t evacuationCount = evacuationRandom.below(maxEvacuations + 1);
    const Milliseconds latestEvacuation = end - minEvacuationDuration;
    for (std::uint64_t i = 0; i < evacuationCount && latestEvacuation > earliestEvacuation; ++i) {
        const auto range = static_cast<std::uint64_t>((latestEvacuation - earliestEvacuation).count());
        const Milliseconds begin = earliestEvacuation + Milliseconds(evacuationRandom.below(range));
        const auto extraMs = static_cast<std::uint64_t>((latestEvacuation - begin).count());
        const bool isSilent
            = begin >= parameters.plannedPhaseDuration && evacuationRandom.chance(silentStoreProbability);
        plan.push_back({begin, minEvacuationDuration + Milliseconds(evacuationRandom.below(extraMs + 1)),
            isSilent ? Action::EvacuateBesideSilentStore : Action::EvacuateDataCentre, evacuationRandom.next()});
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &a, const Fault &b) {
        return a.at < b.at;
    });
    return plan;
}

std::vector<BinaryChange> makeBinaryChanges(const PlanParameters &parameters, std::size_t gatewayCount)
{
    Random random(parameters.seed ^ upgradeSeed);
    std::vector<std::size_t> order(gatewayCount);
    std::iota(order.begin(), order.end(), 0);
    const auto steps = static_cast<std::int64_t>(2 * gatewayCount);
    const Milliseconds interval = (parameters.plannedPhaseDuration + parameters.faultPhaseDuration) / (steps + 1);
    std::vector<BinaryChange> changes;
    for (const bool isUpgrade : {true, false}) {
        for (std::size_t i = order.size(); i > 1; --i) {
            std::swap(order[i - 1], order[random.below(i)]);
        }
        for (const std::size_t it : order) {
            changes.push_back({interval * static_cast<std::int64_t>(changes.size() + 1), it, isUpgrade});
        }
    }
    return changes;
}

} // namespace magnolia::soak
