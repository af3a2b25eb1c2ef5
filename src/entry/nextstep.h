// What follows an attempt that did not bring the whole answer: a pure function of what is known.
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
    /** The answer is a token stream, which the upstream can continue at an offset. */
    bool isStream = false;
    /** Whether any byte of this request may have reached an upstream, in this or an earlier attempt. */
    bool mayHaveRun = false;
    std::uint64_t forwardedTokens = 0;
    /** Attempts so far, this one included. */
    std::uint32_t attempts = 1;
    /** Resumptions in a row at the same upstream that brought no token. */
    std::uint32_t resumesWithoutProgress = 0;
};

enum class StepKind {
    /** Nothing more to do: the answer was passed on. */
    Finish,
    /** The caller is gone: cancel at the upstream and end. */
    Abandon,
    /** Continue the same stream at the same upstream over a new connection. */
    Resume,
    /** Choose another upstream; a stream continues there at the offset reached. */
    Retry,
    /** Answer the caller with an error at once. */
    GiveUp,
};

struct NextStep
{
    StepKind kind = StepKind::GiveUp;
    /** Of the error, where the step is GiveUp. */
    ResultCode code = ResultCode::Internal;
    Outcome outcome = Outcome::Unknown;
};

/** Upstreams that are triedUpstreams for one request at the most. */
constexpr std::uint32_t maxAttempts = 6;
/** Resumptions in a row that may bring nothing before the upstream is left for another. */
constexpr std::uint32_t maxResumesWithoutProgress = 3;

[[nodiscard]] NextStep nextStep(const AttemptContext &context);

/** The step that ends the request with an error, where nothing else is left to do. */
[[nodiscard]] NextStep giveUpStep(const AttemptContext &context);

} // namespace magnolia::entry
