// What one attempt showed of its upstream.
#pragma once

#include <cstdint>

namespace magnolia::outliers
{

enum class AttemptOutcome : std::uint8_t {
    /** A whole answer, or a first event. */
    Succeeded,
    /** It answered with a failure of its own, broke off, or sent what cannot be an answer. */
    Failed,
    /** No connection came about, or it fell silent on every connection. */
    Unreachable,
    /** It refused the request without running it. */
    Refused,
};

} // namespace magnolia::outliers
