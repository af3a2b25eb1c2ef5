// Checks the lines of an event.
#include "streaming/eventform.h"

#include "streaming/types/eventid.h"

#include <algorithm>

namespace magnolia::streaming
{

namespace
{

bool isNameChar(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
}

bool isId(std::string_view text)
{
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    return EventId::parse(text).has_value();
}

} // namespace

EventForm eventForm(std::string_view raw)
{
    int ids = 0;
    bool hasData = false;
    bool hasOtherFields = false;
    bool hasEnded = false;
    while (!raw.empty()) {
        const std::size_t lineEnd = raw.find('\n');
        std::string_view line = raw.substr(0, lineEnd);
        raw.remove_prefix(lineEnd == std::string_view::npos ? raw.size() : lineEnd + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            hasEnded = ids > 0 || hasData || hasOtherFields;
            continue;
        }
        const std::size_t colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (hasEnded || !std::all_of(name.begin(), name.end(), isNameChar)) {
            return EventForm::Malformed;
        }
        if (name == "id") {
            if (!isId(value)) {
                return EventForm::Malformed;
            }
            ++ids;
        } else if (name == "data") {
            hasData = true;
        } else if (!name.empty() && name != "retry") {
            hasOtherFields = true;
        }
    }
    if (ids == 1 && hasData) {
        return EventForm::Piece;
    }
    return ids == 0 && !hasData && !hasOtherFields ? EventForm::Empty : EventForm::Malformed;
}

} // namespace magnolia::streaming
