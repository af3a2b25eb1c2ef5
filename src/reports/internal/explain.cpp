// Collects and formats the events of one request from structured logs.
#include "reports/explain.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace magnolia::reports
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr std::string_view bold = "\033[1m";
constexpr std::string_view resetStyle = "\033[0m";

const std::map<std::string, std::string> &eventDescriptions()
{
    static const std::map<std::string, std::string> table{
        {"entry.arrived", "the request was received"},
        {"entry.refused", "the request was refused before it was read completely"},
        {"entry.attempt", "an attempt at an upstream ended"},
        {"entry.finished", "the request was answered"},
        {"entry.cancel", "a cancellation was sent to the upstream"},
        {"admission.admitted", "admission accepted the request"},
        {"admission.refused", "admission refused the request"},
        {"routing.chosen", "routing selected an upstream"},
        {"idempotency.granted", "this instance owns the idempotency key and may dispatch the request"},
        {"idempotency.relayed", "the request was forwarded to the owner of its idempotency key"},
        {"idempotency.replayed", "the request had already run; its stored answer was sent again"},
        {"idempotency.refused", "the idempotency key does not permit a dispatch"},
        {"gateway.denied", "the request was refused before placement"},
        {"gateway.placed", "placement selected an upstream or refused the request"},
        {"gateway.upstream_refused", "an upstream refused the request without running it"},
        {"gateway.attempt_failed", "an attempt at an upstream failed"},
        {"gateway.upstream_crashed", "the upstream crashed while the request was in progress there"},
        {"gateway.quarantined", "such requests have crashed upstreams; the request was refused for it"},
        {"gateway.relayed", "no upstream could be reached; the request was sent to a peer"},
        {"gateway.relay_received", "a peer that can reach no upstream sent the request"},
        {"gateway.relay_failed", "the connection to the peer failed"},
        {"gateway.relay_refused", "the peer did not run the request"},
        {"gateway.memory_not_held", "engines did not reserve the memory that the request needs"},
        {"gateway.ended", "the request was answered, or its caller disconnected"},
    };
    return table;
}

bool concernsRequest(const Json &line, const RequestId &request)
{
    if (!line.is_object()) {
        return false;
    }
    // The first entry appends a suffix to the caller's request id.
    const std::string id = line.value("request", "");
    return id == request.value() || id.starts_with(request.value() + '.');
}

std::string toText(const Json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string text;
    for (const Json &item : value) {
        text += (text.empty() ? "" : ",") + toText(item);
    }
    return text;
}

TraceEvent toTraceEvent(const Json &line)
{
    TraceEvent event;
    event.timeMs = line.value("time_ms", std::int64_t{0});
    event.instance = line.value("instance", "");
    event.name = line.value("module", "") + '.' + line.value("event", "");
    for (const auto &[name, value] : line.items()) {
        const bool isStandardField = name == "time_ms" || name == "instance" || name == "module" || name == "event"
            || name == "level" || name == "request";
        if (!isStandardField && toText(value) != "") {
            event.fields.push_back(name + '=' + toText(value));
        }
    }
    return event;
}

/** Whether the request ran, according to the gateway's final line; empty for other lines. */
std::string workOutcomeOf(const Json &line)
{
    if (line.value("module", "") != "gateway") {
        return {};
    }
    const std::string event = line.value("event", "");
    if (event == "denied") {
        return "not run";
    }
    // The instance that relayed the request knows more than the peer to which it was relayed.
    if (event != "ended" || line.value("relayed_from", "") != "") {
        return {};
    }
    if (line.value("outcome", "") == "served") {
        return "ran";
    }
    return line.value("may_have_run", true) ? "unknown: it may have run" : "not run";
}

} // namespace

void collectEvents(RequestTrace &trace, const RequestId &request, std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        // Most lines belong to other requests, and searching a line is cheaper than parsing it.
        if (text.find(request.value()) == std::string::npos) {
            continue;
        }
        // Log collectors may prefix lines with a time or a name.
        const std::size_t begin = std::min(text.find('{'), text.size());
        const Json line = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (line.is_discarded()) {
            ++trace.unparsedLineCount;
        } else if (concernsRequest(line, request)) {
            trace.events.push_back(toTraceEvent(line));
            if (std::string outcome = workOutcomeOf(line); !outcome.empty()) {
                trace.workOutcome = std::move(outcome);
            }
        }
    }
}

std::string formatTrace(RequestTrace trace, const RequestId &request, bool isColoured)
{
    std::ostringstream text;
    if (trace.events.empty()) {
        text << "no entries for request " << request.value() << " in these logs\n";
        return text.str();
    }
    std::stable_sort(trace.events.begin(), trace.events.end(), [](const TraceEvent &a, const TraceEvent &b) {
        return a.timeMs < b.timeMs;
    });
    text << "request " << request.value() << '\n';
    const std::int64_t startMs = trace.events.front().timeMs;
    for (const TraceEvent &event : trace.events) {
        const auto description = eventDescriptions().find(event.name);
        text << "  +" << event.timeMs - startMs << " ms  " << event.instance << "  " << (isColoured ? bold : "")
             << (description == eventDescriptions().end() ? event.name : description->second)
             << (isColoured ? resetStyle : "");
        for (const std::string &field : event.fields) {
            text << "\n      " << field;
        }
        text << '\n';
    }
    if (!trace.workOutcome.empty()) {
        text << "execution: " << trace.workOutcome << '\n';
    }
    if (trace.unparsedLineCount > 0) {
        text << "(" << trace.unparsedLineCount << " lines could not be parsed)\n";
    }
    return text.str();
}

} // namespace magnolia::reports
