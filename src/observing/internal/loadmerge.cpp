// Extrapolates load reports to the present, and quantises them for peers.
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

constexpr FractionalSeconds reportTrustTimeConstant{2};
constexpr Seconds maxReportAge{10};
constexpr std::uint64_t prefillUnitTokens = 1024;
constexpr std::uint64_t memoryUnitTokens = 4096;
constexpr Milliseconds ageUnit{10};
// A queue longer than this multiple of what the number of waiting requests explains contains a long prompt.
constexpr double longQueueFactor = 4;

std::uint16_t saturated(std::uint64_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(value, std::numeric_limits<std::uint16_t>::max()));
}

Tokens toTokens(double count)
{
    return Tokens(static_cast<std::uint64_t>(std::max(0.0, count)));
}

bool isUsable(const UpstreamLoad *report, MonoTime now)
{
    return report != nullptr && now - report->measuredAt < maxReportAge;
}

struct OwnWorkSums
{
    double shortPrefill = 0;
    double longPrefill = 0;
    double urgentLongPrefill = 0;
    std::uint32_t longPrefillCount = 0;
    std::uint32_t requestCount = 0;
    Tokens memory;
};

/**
 * Sums the own requests sent at or after `since`, which the report cannot contain yet. `longPrefillCount` and
 * `urgentLongPrefill` cover all own requests.
 */
OwnWorkSums sumOwnWork(const LoadEstimateInput &input, MonoTime since)
{
    OwnWorkSums sums;
    if (input.ownAttempts == nullptr) {
        return sums;
    }
    for (const OwnAttempt &attempt : *input.ownAttempts) {
        const bool isPendingLong = attempt.isLong && !attempt.hasFirstToken;
        sums.longPrefillCount += isPendingLong ? 1 : 0;
        if (isPendingLong && attempt.firstTokenDue <= input.firstTokenDue) {
            sums.urgentLongPrefill += static_cast<double>(attempt.prefill.count());
        }
        if (attempt.dispatchedAt < since) {
            continue;
        }
        ++sums.requestCount;
        sums.memory += attempt.memory;
        if (!attempt.hasFirstToken) {
            (attempt.isLong ? sums.longPrefill : sums.shortPrefill) += static_cast<double>(attempt.prefill.count());
        }
    }
    return sums;
}

LoadEstimate estimateWithoutReport(const LoadEstimateInput &input, const FleetLoad &fleet, double meanShortPromptTokens)
{
    const OwnWorkSums own = sumOwnWork(input, MonoTime::min());
    LoadEstimate estimate;
    estimate.shortPrefill = toTokens(own.shortPrefill + std::min(fleet.meanQueuedPrefill, meanShortPromptTokens));
    estimate.totalPrefill = toTokens(own.shortPrefill + own.longPrefill + fleet.meanQueuedPrefill);
    estimate.longPrefillCount = own.longPrefillCount;
    estimate.urgentLongPrefill = toTokens(own.urgentLongPrefill);
    estimate.requestCount = own.requestCount;
    estimate.freeMemory = input.memory - own.memory;
    return estimate;
}

} // namespace

LoadEstimate estimateLoad(const LoadEstimateInput &input, const UpstreamRates &rates, const FleetLoad &fleet,
    double meanShortPromptTokens, MonoTime now)
{
    if (!isUsable(input.report, now)) {
        return estimateWithoutReport(input, fleet, meanShortPromptTokens);
    }
    const UpstreamLoad &report = *input.report;
    const FractionalSeconds age = std::max(FractionalSeconds(0), FractionalSeconds(now - report.measuredAt));
    const OwnWorkSums own = sumOwnWork(input, report.measuredAt);
    const double drained = rates.shortPrefillTokensPerSecond * age.count();
    const double trust = std::exp(-age / reportTrustTimeConstant);
    const auto reported = static_cast<double>(report.queuedPrefill.count());
    const double explainedByCount = (1.0 + report.waiting) * meanShortPromptTokens;
    const double sentByPeers = fleet.peerTokensPerSecond * age.count();
    const double reportedShort = std::min(reported, explainedByCount);

    LoadEstimate estimate;
    estimate.hasReport = true;
    estimate.reportAge = toMilliseconds(now - report.measuredAt);
    const double shortMean = std::min(fleet.meanQueuedPrefill, explainedByCount);
    estimate.shortPrefill = toTokens(
        std::max(0.0, reportedShort + sentByPeers - drained) * trust + shortMean * (1 - trust) + own.shortPrefill);
    estimate.totalPrefill = toTokens(std::max(0.0, reported + sentByPeers - drained) * trust
        + fleet.meanQueuedPrefill * (1 - trust) + own.shortPrefill + own.longPrefill);
    const bool hasLongPrompt = reported > explainedByCount * longQueueFactor;
    estimate.longPrefillCount = std::max<std::uint32_t>(own.longPrefillCount, hasLongPrompt ? 1 : 0);
    // Without further information, arrivals and completions since the report are assumed to balance.
    estimate.requestCount = report.running + report.waiting + own.requestCount;
    estimate.urgentLongPrefill = toTokens(own.urgentLongPrefill);
    estimate.freeMemory = report.freeMemory - own.memory;
    estimate.waitingMemory = toTokens(report.waiting * meanShortPromptTokens);
    estimate.runningMemory = toTokens(report.running * meanShortPromptTokens);
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
    row.queuedPrefill = saturated((load.queuedPrefill.count() + prefillUnitTokens - 1) / prefillUnitTokens);
    row.freeMemory = saturated(load.freeMemory.count() / memoryUnitTokens);
    const Milliseconds age = std::max(Milliseconds(0), toMilliseconds(now - load.measuredAt));
    row.age = saturated(static_cast<std::uint64_t>((age + ageUnit - Milliseconds(1)) / ageUnit));
    return row;
}

UpstreamLoad dequantise(const LoadRow &row, MonoTime now)
{
    UpstreamLoad load;
    load.running = row.running;
    load.waiting = row.waiting;
    load.queuedPrefill = Tokens(row.queuedPrefill * prefillUnitTokens);
    load.freeMemory = Tokens(row.freeMemory * memoryUnitTokens);
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
