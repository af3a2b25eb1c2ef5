// The choice of engines for one prompt: where it is read, by how many, or whether it is refused.
//
// Load that this answers: prompts from a thousand to a million tokens in one fleet, crests of short and of long ones
// that follow each other within seconds, and several instances that choose at the same moment.
//
// Short reads fill the engines in one common order and long reads take them from the other end, so that the border
// between them lies where the present load puts it: nobody sets or sends it. A long prompt is read by as many engines
// as its target needs. Each candidate set is priced by what callers would lose: this request by being late, and those
// that write there by a pause over their target.
#pragma once

#include "catalogue/types/enginemodel.h"
#include "placement/placementtable.h"
#include "placement/types/candidate.h"
#include "placement/types/decision.h"
#include "placement/types/workestimate.h"

#include <span>
#include <unordered_map>

namespace magnolia::placement
{

struct ChoiceParameters
{
    /** Reads longer than this share of a caller's pause target disturb its stream, and are kept together. */
    double longPrefillMs = 150;
    /** A prediction above this share of the target may turn out late. */
    double safeTargetShare = 0.6;
    /** What a late answer loses of its worth; the published tables give late answers about a quarter. */
    double lateLoss = 0.75;
    /** Share of the slots up to which short reads fill an engine before they go on to the next. */
    double fillShare = 0.75;
    /** Cost of one step along the common order, as a share of the request's worth. */
    double orderCost = 0.002;
    /** Cost of one more engine for a read, as a share of the request's worth. */
    double helperCost = 0.004;
    /** Reads run beside token steps, which lengthens them. */
    double prefillOverheadFactor = 1.1;
    /** Answers are written beside reads, which lengthens them. */
    double decodeOverheadFactor = 1.25;
    /** Engines that one prompt may be read by; the published limit of helpers is 16. */
    std::size_t maxEngines = 16;
    /** What a request that was refused before loses by a second refusal, as a share of its worth. */
    double secondRefusalLoss = 0.5;
    /** Share of the engines up to which one prompt may take them without a loss for those that come. */
    double freeGroupShare = 0.5;
    /** Time that a usual answer takes, which tells the rate of arrivals from those that are here. */
    double typicalAnswerMs = 2000;
    /** Mean backlog of the engines at which their time has its full price. */
    double fullPriceBacklogMs = 2500;
};

/** `loads` as PlacementTable::loads gives them; `candidates` in the common order. */
[[nodiscard]] Decision chooseEngines(const catalogue::EngineModel &engine, const WorkEstimate &work,
    std::span<const Candidate> candidates, const std::unordered_map<UpstreamKey, PlacementLoad> &loads,
    const ChoiceParameters &parameters);

} // namespace magnolia::placement
