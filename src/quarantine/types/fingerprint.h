// Identifies a property of requests between instances.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::quarantine
{

enum class Fingerprint : std::uint64_t {};

/**
 * Returns the first 64 bits of the SHA-256 hash of `kind` and `fields`, each preceded by its length. Callers choose
 * what is hashed, so that a hash without resistance to collisions would let one caller imitate the requests of another.
 */
[[nodiscard]] Fingerprint makeFingerprint(std::string_view kind, std::initializer_list<std::string_view> fields);
/** Returns the fingerprints as the logs and the status show them. */
[[nodiscard]] std::vector<std::string> toHex(const std::vector<Fingerprint> &list);

} // namespace magnolia::quarantine
