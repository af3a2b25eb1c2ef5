// The fault schedule of one run, generated from its seed.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::soak
{

enum class Action {
    // Planned actions.
    StopGateway,
    ReloadGateway,
    ChangeConfiguration,
    ReplaceUpstream,
    // Faults.
    KillGateway,
    PauseGateway,
    KillAllGateways,
    StoreUnavailable,
    StoreSilent,
    StoreResetting,
    StoreHistoryLost,
    StoreReturnsOlder,
    StoreLinkSilent,
    StoreLinkOneWay,
    StoreLinkSlow,
    UpstreamLinkSilent,
    UpstreamLinkOneWay,
    UpstreamLinkReset,
    UpstreamCrash,
    UpstreamTruncating,
    UpstreamFailing,
    UpstreamRefusing,
    UpstreamHanging,
    UpstreamTurningAway,
    UpstreamLimited,
    // Drawn apart from the others, so that the plan of a seed has the same other faults as before.
    CrashingPart,
    CrashingRequest,
    CutGateways,
    EvacuateDataCentre,
    /** The store falls silent right after the item of the evacuation was written. */
    EvacuateBesideSilentStore,
};

[[nodiscard]] std::string_view toString(Action action);

struct Fault
{
    /** Time since the start of traffic. */
    Milliseconds at{0};
    Milliseconds duration{0};
    Action action = Action::StopGateway;
    /** Selects the target: the remainder of its division by the number of possible targets. */
    std::uint64_t targetNumber = 0;
};

struct PlanParameters
{
    std::uint64_t seed = 1;
    /** Length of the first phase, with planned actions only, and of the second, with faults and planned actions. */
    Milliseconds plannedPhaseDuration{8000};
    Milliseconds faultPhaseDuration{8000};
    /** Mean interval between the starts of faults; faults can overlap. */
    Milliseconds meanInterval{450};
};

/** Returns the faults in order of time. Equal parameters give equal plans. */
[[nodiscard]] std::vector<Fault> makePlan(const PlanParameters &parameters);

/** The planned replacement of a gateway's binary: a stop, after which the process is started on the other binary. */
struct BinaryChange
{
    /** Time since the start of traffic. */
    Milliseconds at{0};
    std::size_t gateway = 0;
    /** Whether the gateway goes on with the new binary; otherwise with the previous one. */
    bool isUpgrade = false;
};

/**
 * Returns the changes by which all gateways go one after the other from the previous binary to the new one, and back in
 * the order that the seed gives. They are spread evenly over both phases.
 */
[[nodiscard]] std::vector<BinaryChange> makeBinaryChanges(const PlanParameters &parameters, std::size_t gatewayCount);

} // namespace magnolia::soak
