// Hash functions with the same results on every instance and in every build.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace magnolia
{

/** Returns the 64-bit XXH3 hash of `text`. Not suitable for authentication. */
[[nodiscard]] std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/**
 * Returns the weight of `node` for `key` in rendezvous hashing (Thaler, Ravishankar: "Using name-based mappings to
 * increase hit rates", 1998). The node with the highest weight owns the key; removing a node moves only its own keys.
 */
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/** Returns the index of the node that owns `key`; empty if there are no nodes. Ties go to the smaller name. */
[[nodiscard]] std::optional<std::size_t> rendezvousOwner(std::string_view key, std::span<const std::string> nodes);

} // namespace magnolia
