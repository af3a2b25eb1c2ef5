// What the parts of an exchange share.
#pragma once

#include "framework/global/types/time.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace magnolia::gateway
{

/** A request is not sent with less time than this: it could only be cut off. */
inline constexpr Milliseconds minRemainingTime{20};
inline constexpr double initialServiceMs = 40;

/** The positive number that `text` is; 0 for any other text. */
[[nodiscard]] inline double readNumber(std::string_view text)
{
    double n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && std::isfinite(n) && n > 0 ? n : 0;
}

} // namespace magnolia::gateway
