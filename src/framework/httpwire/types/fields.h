// The fields of an HTTP message in the order in which they stand.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::httpwire
{

/** Names are compared without regard to case. */
struct Fields
{
    std::vector<std::pair<std::string, std::string>> entries;

    /** The first value of `name`; empty where there is none. */
    [[nodiscard]] std::string_view value(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;
    void add(std::string_view name, std::string_view value);
    /** Removes every field of that name. */
    void remove(std::string_view name);
};

[[nodiscard]] bool isSameFieldName(std::string_view a, std::string_view b);
/** Whether a comma-separated list such as that of `Connection` holds `token`. */
[[nodiscard]] bool listContains(std::string_view list, std::string_view token);

} // namespace magnolia::httpwire
