// Decides what follows an attempt.
#include "entry/nextstep.h"

namespace magnolia::entry
{

namespace
{

ResultCode codeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::DeadlinePassed:
        return ResultCode::DeadlineExceeded;
    case AttemptEnd::ProcessEnding:
        return ResultCode::AdmissionStopping;
    case AttemptEnd::ConnectFailed:
        return ResultCode::UpstreamConnectFailed;
    case AttemptEnd::Leaving:
    case AttemptEnd::Refused:
    case AttemptEnd::Rejected:
        return ResultCode::UpstreamRefused;
    case AttemptEnd::Silent:
        return ResultCode::UpstreamSilent;
    case AttemptEnd::WrongAnswer:
        return ResultCode::UpstreamWrongAnswer;
    case AttemptEnd::Gap:
    case AttemptEnd::StreamUnknown:
        return ResultCode::UpstreamTruncated;
    case AttemptEnd::Broken:
        return ResultCode::UpstreamBroken;
    case AttemptEnd::Whole:
    case AttemptEnd::CallerGone:
    case AttemptEnd::Forbidden:
        return ResultCode::Internal;
    }
    return ResultCode::Internal;
}

Outcome outcomeOf(const AttemptContext &context)
{
    if (!context.mayHaveRun) {
        return Outcome::NotRun;
    }
    return context.forwardedTokens > 0 ? Outcome::Ran : Outcome::Unknown;
}

// A failed connection does not imply a failed upstream, so the stream is requested again over a new connection. This
// only reads, so it is allowed for requests that must not run twice.
bool canResume(const AttemptContext &context)
{
    const bool isConnectionFault = context.end == AttemptEnd::Silent || context.end == AttemptEnd::Broken
        || context.end == AttemptEnd::WrongAnswer || context.end == AttemptEnd::Gap;
    return isConnectionFault && context.isStream && context.resumesWithoutProgress < maxResumesWithoutProgress;
}

bool canRetry(const AttemptContext &context)
{
    const bool isSafe = context.isIdempotent || !context.mayHaveRun;
    return isSafe && context.attempts < maxAttempts;
}

} // namespace

NextStep giveUpStep(const AttemptContext &context)
{
    const bool isOutcomeUnknown = !context.isIdempotent && context.mayHaveRun;
    const ResultCode code = isOutcomeUnknown && context.end != AttemptEnd::DeadlinePassed
        ? ResultCode::KeyOutcomeUnknown
        : codeOf(context.end);
    return {StepKind::GiveUp, code, outcomeOf(context)};
}

NextStep nextStep(const AttemptContext &context)
{
    switch (context.end) {
    case AttemptEnd::Whole:
    case AttemptEnd::Rejected:
        return {StepKind::Finish, ResultCode::Ok, Outcome::Ran};
    case AttemptEnd::CallerGone:
        return {StepKind::Abandon, ResultCode::RequestCancelled, outcomeOf(context)};
    case AttemptEnd::DeadlinePassed:
    case AttemptEnd::ProcessEnding:
    case AttemptEnd::Forbidden:
        return giveUpStep(context);
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::Leaving:
    case AttemptEnd::Refused:
    case AttemptEnd::StreamUnknown:
    case AttemptEnd::Silent:
    case AttemptEnd::Broken:
    case AttemptEnd::WrongAnswer:
    case AttemptEnd::Gap:
        break;
    }
    if (canResume(context)) {
        return {StepKind::Resume, ResultCode::Ok, Outcome::Unknown};
    }
    if (canRetry(context)) {
        return {StepKind::Retry, ResultCode::Ok, Outcome::Unknown};
    }
    return giveUpStep(context);
}

} // namespace magnolia::entry
