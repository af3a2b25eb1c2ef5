// Splits the list of prompt parts.
#include "gateway/internal/promptparts.h"

namespace magnolia::gateway
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::vector<std::string_view> sharedPromptParts(std::string_view parts)
{
    std::vector<std::string_view> ids;
    for (std::size_t comma = parts.find(','); comma != std::string_view::npos && ids.size() < maxSharedPromptParts;
         comma = parts.find(',')) {
        const std::string_view entry = trimmed(parts.substr(0, comma));
        const std::size_t colon = entry.find(':');
        if (colon != std::string_view::npos && colon > 0) {
            ids.push_back(trimmed(entry.substr(0, colon)));
        }
        parts.remove_prefix(comma + 1);
    }
    return ids;
}

} // namespace magnolia::gateway
