// The JSON form of an error for callers and operators.
#pragma once

#include "framework/global/error.h"
#include "framework/global/types/ids.h"

#include <string>

namespace magnolia::entry
{

/** The error object of docs/PROTOCOLS.md. */
[[nodiscard]] std::string errorJson(const Error &error, Outcome thisAttempt, const RequestId &request);

/** The wait in whole seconds for a Retry-After field, rounded up. */
[[nodiscard]] std::string retryAfterSeconds(Milliseconds wait);

} // namespace magnolia::entry
