// Reads which parts a prompt shares with other prompts.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace magnolia::gateway
{

/** Maximum number of parts of one prompt that are read; later ones are ignored. */
inline constexpr std::size_t maxSharedPromptParts = 16;

/**
 * Returns the ids of the shared parts of a prompt in order. `parts` lists all parts as comma-separated "ID:TOKENS"; the
 * last part belongs to the request or its session alone and is left out. Malformed entries are skipped.
 */
[[nodiscard]] std::vector<std::string_view> sharedPromptParts(std::string_view parts);

} // namespace magnolia::gateway
