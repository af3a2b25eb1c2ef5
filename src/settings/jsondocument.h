// Parses JSON with comments and reports syntax errors and duplicate keys.
#pragma once

#include "settings/types/problem.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace magnolia::settings
{

struct JsonDocument
{
    /** A discarded value after a syntax error. */
    nlohmann::json root;
    /** A syntax error, or every duplicate key of an object. */
    std::vector<Problem> problems;

    [[nodiscard]] bool isReadable() const
    {
        return !root.is_discarded();
    }
};

/** Parses JSON with `//` and block comments. Does not throw on malformed text. */
[[nodiscard]] JsonDocument parseJson(std::string_view text);

} // namespace magnolia::settings
