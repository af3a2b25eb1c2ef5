// Constants and helpers that the source files of Exchange share.
#pragma once

#include "framework/global/types/time.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace magnolia::gateway
{

/** A request with less time left than this is not sent, because it could not finish before its deadline. */
inline constexpr Milliseconds minRemainingTime{20};
/** A request crashes its upstream within this time after its first event, if at all. */
inline constexpr Milliseconds maxBeginningTime{500};
/** Assumed mean response time of a plain service before the first measurement. */
inline constexpr double initialServiceMs = 40;

/** Parses a positive finite number at the start of `text`; returns 0 if there is none. */
[[nodiscard]] inline double readNumber(std::string_view text)
{
    double n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && std::isfinite(n) && n > 0 ? n : 0;
}

} // namespace magnolia::gateway
