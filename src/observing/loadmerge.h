// Estimates the load of upstreams from delayed reports and own requests, and converts reports to rows for peers.
#pragma once

#include "blackboard/types/loadtable.h"
#include "observing/types/learnedrates.h"
#include "observing/types/loadestimate.h"
#include "observing/types/loadrow.h"
#include "observing/types/ownworktable.h"

#include <span>

namespace magnolia::observing
{

/** Input of estimateLoad for one upstream; a pointer is null where nothing is known. */
struct LoadEstimateInput
{
    const UpstreamLoad *report = nullptr;
    const std::vector<OwnAttempt> *ownAttempts = nullptr;
    /** Total KV memory of the engine. */
    Tokens memory;
    /** Due time of the first token of the request being routed. */
    MonoTime firstTokenDue{};
};

/**
 * Estimates the load at `now`. The reported queue drains at the learned rate and gives way to the fleet's mean as the
 * report ages; own requests sent since the report was measured are added in full, those of other entries at their
 * mean rate.
 */
[[nodiscard]] LoadEstimate estimateLoad(const LoadEstimateInput &input, const UpstreamRates &rates,
    const FleetLoad &fleet, double meanShortPromptTokens, MonoTime now);

/** Mean queued prefill over the reports that are fresh enough to use, in tokens; 0 without any. */
[[nodiscard]] double meanQueuedPrefill(const LoadTable &table, MonoTime now);

[[nodiscard]] LoadRow quantise(const UpstreamId &upstream, const UpstreamLoad &load, MonoTime now);

/** The load described by a row that was received at `now`. */
[[nodiscard]] UpstreamLoad dequantise(const LoadRow &row, MonoTime now);

/** Merges rows from peers into the table. Ignores upstreams not in `known`; never replaces a newer measurement. */
void mergeLoadRows(LoadTable &table, std::span<const LoadRow> rows, std::span<const UpstreamId> known, MonoTime now);

} // namespace magnolia::observing
