// Writes and normalises session records.
#include "sessionrecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>

namespace magnolia::sessions
{

namespace
{

constexpr std::array recordedHeaders{
    "Content-Type", "Retry-After", "X-Instance", "X-Leaving", "X-Request-Id", "Cache-Control", "Connection"};
constexpr std::size_t maxRecordedBodyBytes = 400;

// Fields of decision log lines whose values differ between runs; the record keeps their names only.
bool isRunSpecific(const std::string &name)
{
    return name == "time" || name == "ts" || name == "incarnation" || name == "thread" || name.ends_with("_ms")
        || name == "priority" || name.ends_with("_us") || name.ends_with("_age") || name.ends_with("_load");
}

void normalise(nlohmann::json &value)
{
    if (value.is_array()) {
        for (nlohmann::json &it : value) {
            normalise(it);
        }
    }
    if (!value.is_object()) {
        return;
    }
    for (auto it = value.begin(); it != value.end(); ++it) {
        if (isRunSpecific(it.key())) {
            it.value() = "<" + it.key() + ">";
        } else {
            normalise(it.value());
        }
    }
}

std::vector<nlohmann::json> findLogLines(const std::string &log, const std::string &requestId)
{
    std::vector<nlohmann::json> found;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        nlohmann::json fields = nlohmann::json::parse(line, nullptr, false);
        // The entry appends a suffix to the request id of the caller.
        const std::string request = fields.is_object() ? fields.value("request", "") : "";
        if (request == requestId || request.starts_with(requestId + ".")) {
            found.push_back(std::move(fields));
        }
    }
    return found;
}

std::string normaliseText(std::string text)
{
    static const std::regex uuid("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}");
    static const std::regex milliseconds("(\"[a-z_]*_ms\":)[0-9]+");
    static const std::regex retryAfter("(Retry-After: )[0-9]+");
    static const std::regex score("(:)-?[0-9]+\\.[0-9]{3}\"");
    static const std::regex suffix("([\\w>])(\\.[0-9a-f]{8})+(?![0-9a-f])");
    text = std::regex_replace(text, uuid, "<uuid>");
    text = std::regex_replace(text, suffix, "$1.<suffix>");
    text = std::regex_replace(text, retryAfter, "$1<n>");
    text = std::regex_replace(text, score, "$1<score>\"");
    return std::regex_replace(text, milliseconds, "$1<n>");
}

} // namespace

void SessionRecord::replace(const std::string &from, const std::string &to)
{
    m_replacements.emplace_back(from, to);
}

void SessionRecord::addComment(const std::string &text)
{
    m_text += "# " + text + "\n";
}

void SessionRecord::add(const HttpRequest &request)
{
    m_text += "> " + request.method + " " + request.path + "\n";
    for (const auto &[name, value] : request.headers) {
        m_text.append("> ").append(name).append(": ").append(value).append("\n");
    }
    if (request.body.size() > maxRecordedBodyBytes) {
        m_text += "> (body of " + std::to_string(request.body.size()) + " bytes)\n";
    } else if (!request.body.empty()) {
        m_text += "> " + request.body + "\n";
    }
}

void SessionRecord::add(const HttpResponse &response)
{
    m_text += "< " + std::to_string(response.status) + "\n";
    for (const char *name : recordedHeaders) {
        const auto it = response.headers.find(name);
        if (it != response.headers.end()) {
            m_text.append("< ").append(it->first).append(": ").append(it->second).append("\n");
        }
    }
    add(response.body);
}

void SessionRecord::add(const std::string &text)
{
    m_text += text;
    if (!text.empty() && text.back() != '\n') {
        m_text += "\n";
    }
}

bool SessionRecord::hasFinalLogLine(const std::string &log, const std::string &requestId)
{
    const std::vector<nlohmann::json> lines = findLogLines(log, requestId);
    return std::any_of(lines.begin(), lines.end(), [](const nlohmann::json &line) {
        return line.value("module", "") == "entry" && line.value("event", "") != "arrived"
            && line.value("event", "") != "attempt";
    });
}

void SessionRecord::addLogLines(const std::string &log, const std::string &requestId)
{
    for (nlohmann::json line : findLogLines(log, requestId)) {
        normalise(line);
        line.erase("time");
        m_text += "log " + line.dump() + "\n";
    }
}

std::string SessionRecord::text() const
{
    std::string text = m_text;
    for (const auto &[from, to] : m_replacements) {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    }
    return normaliseText(text);
}

std::string SessionRecord::golden() const
{
    const std::string path = std::string(MAGNOLIA_GOLDEN) + "/" + m_name + ".golden";
    const char *update = std::getenv("MAGNOLIA_UPDATE_GOLDEN");
    if (update != nullptr && std::string(update) == "1") {
        std::ofstream(path) << text();
    }
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace magnolia::sessions
