// Extracts single members of a completion's JSON body without parsing the body.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::entry
{

/**
 * Returns whether the member is `true`. Quotes inside a JSON string are always escaped, so the text `"name"` followed
 * by a colon is always the name of a member. It may be at any depth, but completions use these names at the top level
 * only.
 */
[[nodiscard]] bool isMemberTrue(std::string_view json, std::string_view name);
/** Returns the string value of the member; empty if it is absent, not a string, or contains an escape sequence. */
[[nodiscard]] std::optional<std::string> stringMember(std::string_view json, std::string_view name);
/** Returns the value of the member; empty if it is absent or does not start with an unsigned integer. */
[[nodiscard]] std::optional<std::uint64_t> numberMember(std::string_view json, std::string_view name);

} // namespace magnolia::entry
