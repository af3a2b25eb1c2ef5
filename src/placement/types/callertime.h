// Time that the caller of a request has.
#pragma once

#include "framework/global/types/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace magnolia::placement
{

struct CallerTime
{
    /** Time left until the caller's deadline, by which the whole response must have arrived. */
    Milliseconds untilDeadline{10'000};
    /** Time left for this attempt of the caller: until the timeout of its route, or until this instance stops. */
    Milliseconds untilAttemptEnds = Milliseconds::max();
    /** Time that a new attempt of the caller would have: the timeout of its route. */
    Milliseconds attemptTime = Milliseconds::max();
    /** Time without an event after which the caller leaves; the deadline of a plain response. */
    Milliseconds patience{10'000};
    /** How much of `patience` has passed. */
    Milliseconds waited{0};

    /** Returns the time left for the first event of a response whose other events take `decodeMs`. */
    [[nodiscard]] Milliseconds untilFirstEvent(double decodeMs) const
    {
        const Milliseconds whole = std::min(untilDeadline, untilAttemptEnds);
        return std::min(patience - waited, whole - Milliseconds(static_cast<std::int64_t>(decodeMs)));
    }
};

/**
 * Returns the time after which a new attempt of the caller can be served, if what is ahead of it is worked off
 * meanwhile: its first event is predicted in `firstEventMs`, and its other events take `decodeMs`. Empty if its
 * deadline passes before, since time that passes here is lost to the caller as well.
 */
[[nodiscard]] inline std::optional<Milliseconds> timeUntilServable(
    const CallerTime &time, double firstEventMs, double decodeMs)
{
    if (!(firstEventMs + decodeMs < static_cast<double>(time.untilDeadline.count()))) {
        return std::nullopt;
    }
    const double longestWait = std::min(
        static_cast<double>(time.patience.count()), static_cast<double>(time.attemptTime.count()) - decodeMs);
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::max(0.0, firstEventMs - longestWait))));
}

} // namespace magnolia::placement
