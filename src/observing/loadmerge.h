// Merging of lagging load reports with what the entry knows itself, and the rows that entries share.
#pragma once

#include "blackboard/types/loadtable.h"
#include "observing/types/learnedrates.h"
#include "observing/types/loadestimate.h"
#include "observing/types/loadrow.h"
#include "observing/types/ownworktable.h"

#include <span>

namespace magnolia::observing
{

/** What the merge reads for one upstream; pointers may be null where nothing is known. */
struct LoadEstimateInput
{
    const UpstreamLoad *report = nullptr;
    const std::vector<OwnAttempt> *ownAttempts = nullptr;
    /** All KV memory of the engine. */
    Tokens memory;
    /** When the request that asks is due. */
    MonoTime firstTokenDue{};
};

/**
 * The load as of `now`. The reported queue drains at the learned rate and fades into the fleet's mean with age;
 * own requests sent after the report was measured are added in full, those of other entries at their mean rate.
 */
[[nodiscard]] LoadEstimate estimateLoad(const LoadEstimateInput &input, const UpstreamRates &rates,
    const FleetLoad &fleet, double meanShortPromptTokens, MonoTime now);

/** Mean queue over the reports that are fresh enough to count. */
[[nodiscard]] double meanQueuedPrefill(const LoadTable &table, MonoTime now);

[[nodiscard]] LoadRow quantise(const UpstreamId &upstream, const UpstreamLoad &load, MonoTime now);

/** The load that a row stands for, received at `now`. */
[[nodiscard]] UpstreamLoad dequantise(const LoadRow &row, MonoTime now);

/** Takes rows of peers into the table; a row never replaces a newer measurement. `known` are the upstreams listed. */
void mergeLoadRows(LoadTable &table, std::span<const LoadRow> rows, std::span<const UpstreamId> known, MonoTime now);

} // namespace magnolia::observing
