// Decides what follows an attempt: finish, resume, retry or fail. Pure functions.
#pragma once

#include "entry/types/attemptend.h"
#include "framework/global/outcome.h"
#include "framework/global/resultcode.h"

#include <cstdint>
#include <string_view>

namespace magnolia::entry
{

struct AttemptContext
{
    AttemptEnd end = AttemptEnd::Broken;
    bool isIdempotent = true;
    /** The answer is a token stream, which the upstream can resume at an offset. */
    bool isStream = false;
    /** Whether any byte of this request may have reached an upstream, in this or an earlier attempt. */
    bool mayHaveRun = false;
    std::uint64_t forwardedTokens = 0;
    /** Number of attempts, including this one. */
    std::uint32_t attempts = 1;
    /** Consecutive resumptions at the same upstream that brought no token. */
    std::uint32_t resumesWithoutProgress = 0;
};

enum class StepKind {
    /** The attempt brought a complete answer or a rejection: deliver it. */
    Finish,
    /** The caller has disconnected: cancel at the upstream and stop. */
    Abandon,
    /** Resume the stream at the same upstream over a new connection. */
    Resume,
    /** Try another upstream, where a stream continues at the current offset. */
    Retry,
    /** Send the caller an error. */
    GiveUp,
};

struct NextStep
{
    StepKind kind = StepKind::GiveUp;
    /** Code of the error if the step is GiveUp. */
    ResultCode code = ResultCode::Internal;
    Outcome outcome = Outcome::Unknown;
};

/** Maximum number of upstreams that are tried for one request. */
constexpr std::uint32_t maxAttempts = 6;
/** Maximum number of consecutive resumptions without a token before another upstream is tried. */
constexpr std::uint32_t maxResumesWithoutProgress = 3;

/** Returns the step that follows the attempt. */
[[nodiscard]] NextStep nextStep(const AttemptContext &context);

/** Returns the step that ends the request with the error of the attempt. */
[[nodiscard]] NextStep giveUpStep(const AttemptContext &context);

} // namespace magnolia::entry
