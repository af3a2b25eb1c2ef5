// Serialises errors for callers and operators.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>

namespace magnolia::entry
{

/** Returns the JSON error object that docs/PROTOCOLS.md describes. */
[[nodiscard]] std::string errorJson(const Error &error, Outcome thisAttempt, const RequestId &request);

/** Returns the value of a Retry-After header: the wait in seconds, rounded up. */
[[nodiscard]] std::string retryAfterSeconds(Milliseconds wait);

} // namespace magnolia::entry
