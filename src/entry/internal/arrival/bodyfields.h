// Finds single members of a completion's JSON body without parsing it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::entry
{

/**
 * A quote inside a JSON string is always escaped, so the text `"name"` followed by a colon can only be a member's
 * name. That holds at any depth; the members looked for here have names that completions use at the top only.
 */
[[nodiscard]] bool isMemberTrue(std::string_view json, std::string_view name);
/** The member's string value; empty where it is absent, no string, or holds an escape. */
[[nodiscard]] std::optional<std::string> stringMember(std::string_view json, std::string_view name);
/** The member's value as a whole number; empty where it is absent or none. */
[[nodiscard]] std::optional<std::uint64_t> numberMember(std::string_view json, std::string_view name);

} // namespace magnolia::entry
