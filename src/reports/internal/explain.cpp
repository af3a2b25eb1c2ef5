// Tells the story of one request from structured logs.
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
constexpr std::string_view plain = "\033[0m";

const std::map<std::string, std::string> &sentences()
{
    static const std::map<std::string, std::string> table{
        {"entry.arrived", "the request arrived and was read"},
        {"entry.refused", "the request was refused before it was read as a whole"},
        {"entry.attempt", "an attempt at an upstream ended"},
        {"entry.finished", "the request was answered"},
        {"entry.cancel", "the upstream was told to cancel"},
        {"admission.admitted", "admission took it in"},
        {"admission.refused", "admission refused it"},
        {"routing.chosen", "routing chose an upstream"},
        {"idempotency.granted", "this instance owns the key and may dispatch"},
        {"idempotency.relayed", "the request was passed on to the owner of its key"},
        {"idempotency.replayed", "the key had run; its kept answer was given again"},
        {"idempotency.refused", "the key does not allow a dispatch"},
        {"gateway.denied", "the request was refused before it was placed"},
        {"gateway.placed", "it was decided where the request runs, or that it does not"},
        {"gateway.upstream_refused", "an upstream refused it without running it"},
        {"gateway.attempt_failed", "an attempt at an upstream failed"},
        {"gateway.memory_not_held", "engines did not set the memory aside that it needs"},
        {"gateway.ended", "the request was answered, or its caller has gone"},
    };
    return table;
}

bool isAbout(const Json &line, const RequestId &request)
{
    if (!line.is_object()) {
        return false;
    }
    // The first entry adds its own part to the id that the caller chose.
    const std::string id = line.value("request", "");
    return id == request.value() || id.starts_with(request.value() + '.');
}

std::string textOf(const Json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (!value.is_array()) {
        return value.dump();
    }
    std::string text;
    for (const Json &item : value) {
        text += (text.empty() ? "" : ",") + textOf(item);
    }
    return text;
}

TraceEvent toTraceEvent(const Json &line)
{
    TraceEvent told;
    told.timeMs = line.value("time_ms", std::int64_t{0});
    told.instance = line.value("instance", "");
    told.event = line.value("module", "") + '.' + line.value("event", "");
    for (const auto &[name, value] : line.items()) {
        const bool isHead = name == "time_ms" || name == "instance" || name == "module" || name == "event"
            || name == "level" || name == "request";
        if (!isHead && textOf(value) != "") {
            told.fields.push_back(name + '=' + textOf(value));
        }
    }
    return told;
}

/** What the gateway's closing line proves of the request's work; empty for other lines. */
std::string workOf(const Json &line)
{
    if (line.value("module", "") != "gateway") {
        return {};
    }
    const std::string event = line.value("event", "");
    if (event == "denied") {
        return "not run";
    }
    if (event != "ended") {
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
        // Most lines are about other requests: a search is cheaper than parsing them all.
        if (text.find(request.value()) == std::string::npos) {
            continue;
        }
        // Collectors of logs put a time or a name before the line.
        const std::size_t begin = std::min(text.find('{'), text.size());
        const Json line = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (line.is_discarded()) {
            ++trace.unparsedLineCount;
        } else if (isAbout(line, request)) {
            trace.events.push_back(toTraceEvent(line));
            if (std::string work = workOf(line); !work.empty()) {
                trace.workOutcome = std::move(work);
            }
        }
    }
}

std::string formatTrace(RequestTrace trace, const RequestId &request, bool inColour)
{
    std::ostringstream text;
    if (trace.events.empty()) {
        text << "no line about request " << request.value() << " in these logs\n";
        return text.str();
    }
    std::stable_sort(trace.events.begin(), trace.events.end(), [](const TraceEvent &a, const TraceEvent &b) {
        return a.timeMs < b.timeMs;
    });
    text << "request " << request.value() << '\n';
    const std::int64_t begin = trace.events.front().timeMs;
    for (const TraceEvent &line : trace.events) {
        const auto sentence = sentences().find(line.event);
        text << "  +" << line.timeMs - begin << " ms  " << line.instance << "  " << (inColour ? bold : "")
             << (sentence == sentences().end() ? line.event : sentence->second) << (inColour ? plain : "");
        for (const std::string &field : line.fields) {
            text << "\n      " << field;
        }
        text << '\n';
    }
    if (!trace.workOutcome.empty()) {
        text << "its work: " << trace.workOutcome << '\n';
    }
    if (trace.unparsedLineCount > 0) {
        text << "(" << trace.unparsedLineCount << " lines could not be read)\n";
    }
    return text.str();
}

} // namespace magnolia::reports
