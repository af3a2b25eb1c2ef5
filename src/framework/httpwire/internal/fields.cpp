// Access to the header fields of a message.
#include "framework/httpwire/types/fields.h"

#include <algorithm>
#include <cctype>

namespace magnolia::httpwire
{

bool isSameFieldName(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [&](char x, char y) {
        return lower(x) == lower(y);
    });
}

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        const std::size_t first = item.find_first_not_of(" \t");
        if (first != std::string_view::npos) {
            item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
            if (isSameFieldName(item, token)) {
                return true;
            }
        }
        if (comma == std::string_view::npos) {
            break;
        }
        list.remove_prefix(comma + 1);
    }
    return false;
}

std::string_view Fields::value(std::string_view name) const
{
    for (const auto &[key, value] : entries) {
        if (isSameFieldName(key, name)) {
            return value;
        }
    }
    return {};
}

bool Fields::has(std::string_view name) const
{
    return std::any_of(entries.begin(), entries.end(), [&](const auto &it) {
        return isSameFieldName(it.first, name);
    });
}

void Fields::add(std::string_view name, std::string_view value)
{
    entries.emplace_back(name, value);
}

void Fields::remove(std::string_view name)
{
    std::erase_if(entries, [&](const auto &it) {
        return isSameFieldName(it.first, name);
    });
}

} // namespace magnolia::httpwire
