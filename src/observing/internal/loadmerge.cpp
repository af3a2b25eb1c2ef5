// Carrying a report forward in time, and quantising it for peers.
#include "observing/loadmerge.h"

#include "framework/global/hashing.h"
#include "observing/learning.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace magnolia::observing
{

namespace
{

constexpr FractionalSeconds reportTimeConstant{2};
constexpr Seconds oldestReport{10};
constexpr std::uint64_t prefillUnit = 1024;
constexpr std::uint64_t memoryUnit = 4096;
constexpr Milliseconds ageUnit{10};
// A queue this many times what its request count explains holds a long prompt.
constexpr double longQueueFactor = 4;

std::uint16_t saturated(std::uint64_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

Tokens tokens(double count)
{
    return Tokens(static_cast<std::uint64_t>(std::max(0.0, count)));
}

bool isUsable(const UpstreamLoad *report, MonoTime now)
{
    return report != nullptr && now - report->measuredAt < oldestReport;
}

struct OwnSums
{
    double shortPrefill = 0;
    double longPrefill = 0;
    double urgentLongPrefill = 0;
    std::uint32_t longPrefillCount = 0;
    std::uint32_t requestCount = 0;
    Tokens memory;
};

/** Own requests that the report cannot know of yet. */
OwnSums ownSince(const LoadEstimateInput &input, MonoTime since)
{
    OwnSums sums;
    if (input.ownAttempts == nullptr) {
        return sums;
    }
    for (const OwnAttempt &row : *input.ownAttempts) {
        const bool isPendingLong = row.isLong && !row.hasFirstToken;
        sums.longPrefillCount += isPendingLong ? 1 : 0;
        if (isPendingLong && row.firstTokenDue <= input.firstTokenDue) {
            sums.urgentLongPrefill += static_cast<double>(row.prefill.count());
        }
        if (row.dispatchedAt < since) {
            continue;
        }
        ++sums.requestCount;
        sums.memory += row.memory;
        if (!row.hasFirstToken) {
            (row.isLong ? sums.longPrefill : sums.shortPrefill) += static_cast<double>(row.prefill.count());
        }
    }
    return sums;
}

LoadEstimate withoutReport(const LoadEstimateInput &input, const FleetLoad &fleet, double meanShortPromptTokens)
{
    const OwnSums own = ownSince(input, MonoTime::min());
    LoadEstimate estimate;
    estimate.shortPrefill = tokens(own.shortPrefill + std::min(fleet.meanQueuedPrefill, meanShortPromptTokens));
    estimate.totalPrefill = tokens(own.shortPrefill + own.longPrefill + fleet.meanQueuedPrefill);
    estimate.longPrefillCount = own.longPrefillCount;
    estimate.urgentLongPrefill = tokens(own.urgentLongPrefill);
    estimate.requestCount = own.requestCount;
    estimate.freeMemory = input.memory - own.memory;
    return estimate;
}

} // namespace

LoadEstimate estimateLoad(const LoadEstimateInput &input, const UpstreamRates &rates, const FleetLoad &fleet,
    double meanShortPromptTokens, MonoTime now)
{
    if (!isUsable(input.report, now)) {
        return withoutReport(input, fleet, meanShortPromptTokens);
    }
    const UpstreamLoad &report = *input.report;
    const FractionalSeconds age = std::max(FractionalSeconds(0), FractionalSeconds(now - report.measuredAt));
    const OwnSums own = ownSince(input, report.measuredAt);
    const double drained = rates.shortPrefillTokensPerSecond * age.count();
    const double trust = std::exp(-age / reportTimeConstant);
    const auto reported = static_cast<double>(report.queuedPrefill.count());
    const double explained = (1.0 + report.waiting) * meanShortPromptTokens;
    const double others = fleet.peerTokensPerSecond * age.count();
    const double reportedShort = std::min(reported, explained);

    LoadEstimate estimate;
    estimate.hasReport = true;
    estimate.reportAge = toMilliseconds(now - report.measuredAt);
    const double shortMean = std::min(fleet.meanQueuedPrefill, explained);
    estimate.shortPrefill
        = tokens(std::max(0.0, reportedShort + others - drained) * trust + shortMean * (1 - trust) + own.shortPrefill);
    estimate.totalPrefill = tokens(std::max(0.0, reported + others - drained) * trust
        + fleet.meanQueuedPrefill * (1 - trust) + own.shortPrefill + own.longPrefill);
    const bool showsLong = reported > explained * longQueueFactor;
    estimate.longPrefillCount = std::max<std::uint32_t>(own.longPrefillCount, showsLong ? 1 : 0);
    // Requests come and go alike where nothing is known of the change.
    estimate.requestCount = report.running + report.waiting + own.requestCount;
    estimate.urgentLongPrefill = tokens(own.urgentLongPrefill);
    estimate.freeMemory = report.freeMemory - own.memory;
    estimate.waitingMemory = tokens(report.waiting * meanShortPromptTokens);
    estimate.runningMemory = tokens(report.running * meanShortPromptTokens);
    return estimate;
}

double meanQueuedPrefill(const LoadTable &table, MonoTime now)
{
    double sum = 0;
    double count = 0;
    for (const auto &[upstream, load] : table.upstreams) {
        if (isUsable(&load, now)) {
            sum += static_cast<double>(load.queuedPrefill.count());
            count += 1;
        }
    }
    return count > 0 ? sum / count : 0;
}

LoadRow quantise(const UpstreamId &upstream, const UpstreamLoad &load, MonoTime now)
{
    LoadRow row;
    row.upstream = static_cast<std::uint32_t>(stableHash(upstream.value()));
    row.running = saturated(load.running);
    row.waiting = saturated(load.waiting);
    row.queuedPrefill = saturated((load.queuedPrefill.count() + prefillUnit - 1) / prefillUnit);
    row.freeMemory = saturated(load.freeMemory.count() / memoryUnit);
    const Milliseconds age = std::max(Milliseconds(0), toMilliseconds(now - load.measuredAt));
    row.age = saturated(static_cast<std::uint64_t>((age + ageUnit - Milliseconds(1)) / ageUnit));
    return row;
}

UpstreamLoad dequantise(const LoadRow &row, MonoTime now)
{
    UpstreamLoad load;
    load.running = row.running;
    load.waiting = row.waiting;
    load.queuedPrefill = Tokens(row.queuedPrefill * prefillUnit);
    load.freeMemory = Tokens(row.freeMemory * memoryUnit);
    load.measuredAt = now - row.age * ageUnit;
    return load;
}

void mergeLoadRows(LoadTable &table, std::span<const LoadRow> rows, std::span<const UpstreamId> known, MonoTime now)
{
    std::unordered_map<std::uint32_t, const UpstreamId *> byHash;
    for (const UpstreamId &upstream : known) {
        byHash.emplace(static_cast<std::uint32_t>(stableHash(upstream.value())), &upstream);
    }
    for (const LoadRow &row : rows) {
        const auto it = byHash.find(row.upstream);
        if (it == byHash.end()) {
            continue;
        }
        const UpstreamLoad load = dequantise(row, now);
        const auto [entry, isNew] = table.upstreams.try_emplace(*it->second, load);
        if (!isNew && entry->second.measuredAt < load.measuredAt) {
            entry->second = load;
        }
    }
}

} // namespace magnolia::observing
