// Engine selection for a prompt: which engines prefill it, how many, or whether it is refused.
//
// Designed for prompts of a thousand to a million tokens on one fleet, peaks of short and of long prompts that follow
// each other within seconds, and several instances that choose at the same time.
//
// A request is served if its caller has the time for it, unless callers who were there before would be lost by it. The
// targets of the operator decide only among the engines that serve in time.
//
// Short prefills fill the engines from the start of a shared order and long prefills from its end, so the boundary
// between them follows the load without being configured or communicated. A long prompt is split over as many engines
// as its target requires. The cost of a group of engines is the number of requests that are expected to miss a target:
// this one if it is late, and those decoding there if a gap between their events exceeds the target. All callers count
// alike, whatever the size of their prompt is.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "placement/placementtable.h"
#include "placement/types/callertime.h"
#include "placement/types/candidate.h"
#include "placement/types/decision.h"
#include "placement/types/workestimate.h"

#include <span>
#include <unordered_map>

namespace magnolia::placement
{

struct ChoiceParameters
{
    /** Prefills of more milliseconds than this are long: they delay streams on the engine and are kept together. */
    double longPrefillMs = 150;
    /** Share of the target above which a predicted time risks being late. */
    double safeTargetShare = 0.6;
    /** Share of the slots up to which short prefills fill an engine before the next one is used. */
    double fillShare = 0.75;
    /** Cost of each step along the shared order, as a part of a missed target. */
    double orderCost = 0.002;
    /** Cost of each additional engine for a prefill, as a part of a missed target. */
    double helperCost = 0.004;
    /** Factor by which concurrent decode steps lengthen a prefill. */
    double prefillOverheadFactor = 1.1;
    /** Factor by which parts of later prompts lengthen prefills while prompts wait. */
    double overtakenPrefillFactor = 2;
    /** Factor by which concurrent prefills lengthen the decode of a response. */
    double decodeOverheadFactor = 1.25;
    /** Maximum number of engines for one prompt; the published limit of helpers is 16. */
    std::size_t maxEngines = 16;
    /** Share of the engines that one prompt may take without a cost for requests that arrive meanwhile. */
    double freeGroupShare = 0.5;
};

/**
 * Chooses the engines with the lowest cost among those that serve the caller in time, or refuses the request. `loads`
 * come from PlacementTable::loads, and `candidates` are in the order shared by all instances.
 */
[[nodiscard]] Decision chooseEngines(const catalogue::EngineModel &engine, const WorkEstimate &work,
    const CallerTime &time, const ResponseTargets &targets, std::span<const Candidate> candidates,
    const std::unordered_map<UpstreamKey, PlacementLoad> &loads, const ChoiceParameters &parameters);

} // namespace magnolia::placement
