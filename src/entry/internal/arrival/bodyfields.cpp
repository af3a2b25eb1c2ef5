// Extracts single members of a completion's JSON body without parsing the body.
#include "entry/internal/arrival/bodyfields.h"

#include <charconv>

namespace magnolia::entry
{

namespace
{

std::string_view skipSpace(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r\n");
    return begin == std::string_view::npos ? std::string_view() : text.substr(begin);
}

// Returns the text after the colon of the member, or an empty view if there is no such member.
std::string_view valueText(std::string_view json, std::string_view name)
{
    const std::string quoted = '"' + std::string(name) + '"';
    for (std::size_t at = json.find(quoted); at != std::string_view::npos; at = json.find(quoted, at + 1)) {
        const bool isEscaped = at > 0 && json[at - 1] == '\\';
        const std::string_view rest = skipSpace(json.substr(at + quoted.size()));
        if (!isEscaped && rest.starts_with(':')) {
            return skipSpace(rest.substr(1));
        }
    }
    return {};
}

} // namespace

bool isMemberTrue(std::string_view json, std::string_view name)
{
    return valueText(json, name).starts_with("true");
}

std::optional<std::string> stringMember(std::string_view json, std::string_view name)
{
    std::string_view text = valueText(json, name);
    if (!text.starts_with('"')) {
        return std::nullopt;
    }
    text.remove_prefix(1);
    const std::size_t end = text.find_first_of("\"\\");
    if (end == std::string_view::npos || text[end] == '\\') {
        return std::nullopt;
    }
    return std::string(text.substr(0, end));
}

std::optional<std::uint64_t> numberMember(std::string_view json, std::string_view name)
{
    const std::string_view text = valueText(json, name);
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc()) {
        return std::nullopt;
    }
    return number;
}

} // namespace magnolia::entry
