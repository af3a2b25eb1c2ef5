// The header fields of an HTTP message in their original order.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::httpwire
{

/** Field names are compared case-insensitively. */
struct Fields
{
    std::vector<std::pair<std::string, std::string>> entries;

    /** Returns the first value of `name`, or an empty text if there is none. */
    [[nodiscard]] std::string_view value(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    void add(std::string_view name, std::string_view value);
    /** Removes all fields with this name. */
    void remove(std::string_view name);
};

/** Compares two names, ignoring the case of ASCII letters. */
[[nodiscard]] bool isSameFieldName(std::string_view a, std::string_view b);
/** Whether a comma-separated list, such as the value of `Connection`, contains `token`. */
[[nodiscard]] bool listContains(std::string_view list, std::string_view token);

} // namespace magnolia::httpwire
