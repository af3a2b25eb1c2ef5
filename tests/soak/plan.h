// The series of faults of one run, drawn from its seed.
#pragma once

#include "framework/global/types/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::soak
{

enum class Action {
    // Planned work.
    StopGateway,
    ReloadGateway,
    ChangeConfiguration,
    ReplaceUpstream,
    // Trouble.
    KillGateway,
    PauseGateway,
    KillAllGateways,
    StoreBusy,
    StoreSilent,
    StoreResetting,
    StoreForgets,
    StoreLinkSilent,
    StoreLinkOneWay,
    StoreLinkSlow,
    UpstreamLinkSilent,
    UpstreamLinkOneWay,
    UpstreamLinkReset,
    UpstreamCrash,
    UpstreamBreaking,
    UpstreamFailing,
    UpstreamShedding,
    UpstreamHanging,
};

[[nodiscard]] std::string_view toString(Action action);

struct Fault
{
    /** From the start of traffic. */
    Milliseconds at{0};
    Milliseconds duration{0};
    Action action = Action::StopGateway;
    /** Which of the things that fit. */
    std::uint64_t target = 0;
};

struct PlanParameters
{
    std::uint64_t seed = 1;
    /** Planned work only, then all kinds. */
    Milliseconds plannedTime{8000};
    Milliseconds troubleTime{8000};
    /** Mean pause between faults; they overlap. */
    Milliseconds meanPause{450};
};

/** In order of time; the same for the same parameters. */
[[nodiscard]] std::vector<Fault> makePlan(const PlanParameters &parameters);

} // namespace magnolia::soak
