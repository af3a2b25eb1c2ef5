// Replays runs that instances have logged on the engine model, to measure how closely it predicts real engines.
#pragma once

#include "workload.h"

#include "catalogue/types/enginemodel.h"

#include <cstddef>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace magnolia::bench
{

/** One request as logged by the instance that received it. */
struct RecordedRequest
{
    std::string id;
    /** Wall time of its placement in milliseconds. */
    double placedAtMs = 0;
    std::string primary;
    std::vector<std::string> helpers;
    double promptTokens = 0;
    /** The caller's estimate. */
    double estimatedOutputTokens = 0;
    double firstEventTargetMs = 0;
    /** Refused requests have no engine. */
    bool isRefused = false;
    double reservedTokensPerHelper = 0;
    /** Milliseconds from its placement to the first event; negative if unknown. */
    double firstEventMs = -1;
    /** Milliseconds from its placement to its end. */
    double endMs = -1;
    double eventCount = 0;
    /** Answered completely by the first engine that it was sent to. */
    bool isServedAtFirstAttempt = false;
};

/**
 * Returns the requests that have both a placement and an end in the log, including refused ones, in order of placement.
 * Lines that are not JSON log lines are skipped.
 */
[[nodiscard]] std::vector<RecordedRequest> readRecordedRequests(std::istream &log);

/** Converts requests to arrivals of the class with the same target; omits requests whose target no class has. */
[[nodiscard]] std::vector<Arrival> makeRecordedArrivals(
    const Workload &workload, const std::vector<RecordedRequest> &requests);

/** Measured and modelled times of the requests in one category. All times are medians. */
struct ReplaySummary
{
    std::size_t count = 0;
    double measuredFirstEventMs = 0;
    double modelledFirstEventMs = 0;
    double measuredTotalMs = 0;
    double modelledTotalMs = 0;
    /** Median of modelled time / measured time - 1. */
    double firstEventRelativeError = 0;
    double totalRelativeError = 0;
};

/**
 * Returns the summaries by category: prompt length and activity of the engine. `delayMs`, the network round trip to an
 * engine, is added to the modelled times.
 */
[[nodiscard]] std::map<std::string, ReplaySummary> replayRequests(
    const catalogue::EngineModel &model, const std::vector<RecordedRequest> &requests, double delayMs);

} // namespace magnolia::bench
