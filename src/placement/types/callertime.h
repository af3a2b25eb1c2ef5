// Time that the caller of a request has.
#pragma once

#include "framework/global/types/time.h"

#include <algorithm>
#include <cstdint>

namespace magnolia::placement
{

struct CallerTime
{
    /** Time left until the caller's deadline, by which the whole response must have arrived. */
    Milliseconds untilDeadline{10'000};
    /** Time left in which this instance can serve the request; shorter than `untilDeadline` only while it stops. */
    Milliseconds untilStop = Milliseconds::max();
    /** Time without an event after which the caller leaves; the deadline of a plain response. */
    Milliseconds patience{10'000};
    /** How much of `patience` has passed. */
    Milliseconds waited{0};

    /** Returns the time left for the first event of a response whose other events take `decodeMs`. */
    [[nodiscard]] Milliseconds untilFirstEvent(double decodeMs) const
    {
        const Milliseconds whole = std::min(untilDeadline, untilStop);
        return std::min(patience - waited, whole - Milliseconds(static_cast<std::int64_t>(decodeMs)));
    }
};

} // namespace magnolia::placement
