// Tells the story of one request from the structured logs of one or more instances.
#pragma once

#include "framework/global/types/ids.h"

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace magnolia::reports
{

/** One log line of the request. */
struct TraceEvent
{
    std::int64_t timeMs = 0;
    std::string instance;
    /** Module and event, as in `routing.chosen`. */
    std::string event;
    /** Further fields as `name=value`, in the order of the log. */
    std::vector<std::string> fields;
};

struct RequestTrace
{
    /** Ascending by time; lines of one instance keep their order. */
    std::vector<TraceEvent> events;
    /** Lines of the logs that are no JSON objects and were passed over. */
    std::uint64_t unparsedLineCount = 0;
    /** "ran", "not run" or "unknown ..."; empty where no line tells. */
    std::string workOutcome;
};

/** Adds the lines of one log that are about the request. */
void collectEvents(RequestTrace &trace, const RequestId &request, std::istream &log);

/** The story as text, with times relative to its first line and a sentence a line; plain without `inColour`. */
[[nodiscard]] std::string formatTrace(RequestTrace trace, const RequestId &request, bool inColour);

} // namespace magnolia::reports
