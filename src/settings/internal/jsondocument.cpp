// Parses JSON with nlohmann-json. A callback detects duplicate keys, which the library would merge silently.
#include "settings/jsondocument.h"

#include "settings/objectreader.h"

#include <algorithm>
#include <set>

namespace magnolia::settings
{

namespace
{

using Json = nlohmann::json;

/** An object or array that is being parsed. */
struct Frame
{
    std::string path;
    bool isArray = false;
    std::size_t nextIndex = 0;
    std::string key;
    std::set<std::string> keys;
};

std::string currentPath(const std::vector<Frame> &frames)
{
    if (frames.empty()) {
        return {};
    }
    const Frame &frame = frames.back();
    return frame.isArray ? elementPath(frame.path, frame.nextIndex) : childPath(frame.path, frame.key);
}

class DuplicateKeyDetector
{
public:
    explicit DuplicateKeyDetector(std::vector<Problem> &problems)
        : m_problems(problems)
    {
    }

    void onParseEvent(Json::parse_event_t event, const Json &parsed)
    {
        switch (event) {
        case Json::parse_event_t::object_start:
        case Json::parse_event_t::array_start:
            m_frames.push_back(Frame{currentPath(m_frames), event == Json::parse_event_t::array_start, 0, {}, {}});
            break;
        case Json::parse_event_t::object_end:
        case Json::parse_event_t::array_end:
            m_frames.pop_back();
            onValueEnd();
            break;
        case Json::parse_event_t::key:
            onKey(parsed.get<std::string>());
            break;
        case Json::parse_event_t::value:
            onValueEnd();
            break;
        }
    }

private:
    void onValueEnd()
    {
        if (!m_frames.empty()) {
            ++m_frames.back().nextIndex;
        }
    }
    void onKey(const std::string &key)
    {
        Frame &frame = m_frames.back();
        frame.key = key;
        if (!frame.keys.insert(key).second) {
            m_problems.push_back({childPath(frame.path, key), "is listed twice; keep one of them"});
        }
    }

    std::vector<Problem> &m_problems;
    std::vector<Frame> m_frames;
};

std::string lineNumber(std::string_view text, std::size_t byte)
{
    const std::string_view before = text.substr(0, byte);
    return std::to_string(std::count(before.begin(), before.end(), '\n') + 1);
}

/** Removes the characters last read from the library's message, as they may belong to a secret. */
std::string removeContent(const std::string &message)
{
    const std::size_t reasonStart = message.find(" - ");
    const std::string text = reasonStart == std::string::npos ? "malformed text" : message.substr(reasonStart + 3);
    return text.substr(0, text.find("; last read:"));
}

} // namespace

JsonDocument parseJson(std::string_view text)
{
    JsonDocument document;
    DuplicateKeyDetector detector(document.problems);
    const auto onEvent = [&detector](int /*depth*/, Json::parse_event_t event, Json &parsed) {
        detector.onParseEvent(event, parsed);
        return true;
    };
    try {
        document.root = Json::parse(text, onEvent, true, true);
    } catch (const Json::parse_error &ec) {
        document.root = Json(Json::value_t::discarded);
        document.problems.push_back(
            {"", "not JSON at line " + lineNumber(text, ec.byte) + ": " + removeContent(ec.what())});
    }
    return document;
}

} // namespace magnolia::settings
