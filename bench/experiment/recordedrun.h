// A run that instances have logged, played again on the engine model: how near the model comes to real engines.
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

/** One request that was sent to an engine, as the log of its instance tells it. */
struct RecordedRequest
{
    std::string id;
    /** Wall time of its placing, in milliseconds. */
    double atMs = 0;
    std::string engine;
    std::vector<std::string> helpers;
    double promptTokens = 0;
    /** As its caller estimated. */
    double estimatedTokens = 0;
    double targetMs = 0;
    /** Refused requests have no engine. */
    bool isRefused = false;
    double ticketTokens = 0;
    /** From its placing; negative where there was none. */
    double firstMs = -1;
    double endMs = -1;
    double events = 0;
    /** Answered whole, by the first engine that it was sent to. */
    bool isPlain = false;
};

/** Requests with a beginning and an end, refused ones included, in order of time. Lines that are none of a log are
 * passed over. */
[[nodiscard]] std::vector<RecordedRequest> readRecorded(std::istream &log);

/** The requests as arrivals of the workload's classes, told apart by their targets; others are left out. */
[[nodiscard]] std::vector<Arrival> recordedArrivals(
    const Workload &workload, const std::vector<RecordedRequest> &requests);

/** First events, and whole answers, of one kind of situation. */
struct SceneFigures
{
    std::size_t count = 0;
    double measuredFirstMs = 0;
    double modelledFirstMs = 0;
    double measuredTotalMs = 0;
    double modelledTotalMs = 0;
    /** Median of modelled over measured, less one. */
    double firstDifference = 0;
    double totalDifference = 0;
};

/** Medians by scene. `delayMs` is what the way to an engine and back adds. */
[[nodiscard]] std::map<std::string, SceneFigures> replayRecorded(
    const catalogue::EngineModel &model, const std::vector<RecordedRequest> &requests, double delayMs);

} // namespace magnolia::bench
