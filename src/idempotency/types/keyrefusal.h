// The reason why a request with an idempotency key is refused, and what is known about its execution.
#pragma once

#include "framework/global/error.h"
#include "framework/global/outcome.h"
#include "framework/global/resultcode.h"
#include "framework/global/types/time.h"

#include <optional>
#include <string>

namespace magnolia::idempotency
{

struct KeyRefusal
{
    ResultCode code = ResultCode::Internal;
    /** Outcome of the key over all attempts. NotRun: no attempt ran, and none ever will. */
    Outcome outcome = Outcome::Unknown;
    /** Outcome of this attempt only. */
    Outcome thisAttempt = Outcome::NotRun;
    /** Delay after which to send the same key again; empty if a retry cannot succeed. */
    std::optional<Milliseconds> retryAfter;
};

/** Returns the error for the caller, with the outcome of the key over all attempts. */
[[nodiscard]] inline Error toError(const KeyRefusal &refusal, std::string detail = {})
{
    return Error{refusal.code, std::move(detail), refusal.outcome, refusal.retryAfter};
}

} // namespace magnolia::idempotency
