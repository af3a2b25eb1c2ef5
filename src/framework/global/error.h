// The error type of Result: a result code, a detail text, the outcome of the request and a retry delay.
#pragma once

#include "framework/global/outcome.h"
#include "framework/global/resultcode.h"
#include "framework/global/types/time.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace magnolia
{

struct Error
{
    ResultCode code = ResultCode::Internal;
    /** Human-readable description of this failure; the text of the result code says what to do next. */
    std::string detail;
    /** Whether the request was executed. */
    Outcome outcome = Outcome::NotRun;
    /** Delay after which a retry may succeed; empty if a retry cannot help. */
    std::optional<Milliseconds> retryAfter = std::nullopt;
};

template <typename T>
using Result = tl::expected<T, Error>;

/** Returns an error result with the outcome `NotRun` and no retry delay. */
[[nodiscard]] inline tl::unexpected<Error> makeError(ResultCode code, std::string detail)
{
    return tl::unexpected(Error{code, std::move(detail)});
}

} // namespace magnolia
