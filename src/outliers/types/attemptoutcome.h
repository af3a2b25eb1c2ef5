// Outcome of an attempt, as evidence about its upstream.
#pragma once

#include <cstdint>

namespace magnolia::outliers
{

enum class AttemptOutcome : std::uint8_t {
    /** A complete response, or the first event of a stream. */
    Succeeded,
    /** The upstream answered with its own error, closed the connection early, or sent an invalid response. */
    Failed,
    /** No connection could be opened, or the upstream went silent on every connection. */
    Unreachable,
    /** The upstream refused the request without running it. */
    Refused,
};

} // namespace magnolia::outliers
