// Collects and formats the events of one request from the structured logs of one or more instances.
#pragma once

#include "framework/global/types/ids.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace magnolia::reports
{

/** One log entry of the request. */
struct TraceEvent
{
    std::int64_t timeMs = 0;
    std::string instance;
    /** Module and event, for example `routing.chosen`. */
    std::string name;
    /** Remaining fields as `name=value`, in the order of the log. */
    std::vector<std::string> fields;
};

struct RequestTrace
{
    /** Events in the order in which they were collected. */
    std::vector<TraceEvent> events;
    /** Number of skipped lines that contain the request id but are not valid JSON. */
    std::uint64_t unparsedLineCount = 0;
    /** "ran", "not run" or "unknown: ..."; empty if no event states it. */
    std::string workOutcome;
};

/** Adds the request's events from one log. */
void collectEvents(RequestTrace &trace, const RequestId &request, std::istream &log);

/** Formats the events in order of time, with times relative to the first one. Adds terminal styles if `isColoured`. */
[[nodiscard]] std::string formatTrace(RequestTrace trace, const RequestId &request, bool isColoured);

} // namespace magnolia::reports
