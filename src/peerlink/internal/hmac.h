// HMAC-SHA-256 (RFC 2104, FIPS 198-1) by OpenSSL.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace magnolia::peerlink
{

using HmacTag = std::array<char, 32>;

/** Returns the tag; empty if the key is empty or OpenSSL fails. */
[[nodiscard]] std::optional<HmacTag> hmacSha256(std::string_view key, std::string_view data);

/** Compares in a time that does not depend on the position of a difference. */
[[nodiscard]] bool isEqualConstantTime(const HmacTag &tag, std::string_view other);

} // namespace magnolia::peerlink
