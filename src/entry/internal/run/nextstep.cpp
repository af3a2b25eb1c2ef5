// What follows an attempt that did not bring the whole answer.
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

Outcome outcomeOf(const AttemptFacts &facts)
{
    if (!facts.mayHaveRun) {
        return Outcome::NotRun;
    }
    return facts.tokensPassedOn > 0 ? Outcome::Ran : Outcome::Unknown;
}

// The connection failed, not necessarily the upstream: a stream is asked for again over a new connection, which only
// reads and so is allowed for work that must not run twice.
bool canResume(const AttemptFacts &facts)
{
    const bool isConnectionFault = facts.end == AttemptEnd::Silent || facts.end == AttemptEnd::Broken
        || facts.end == AttemptEnd::WrongAnswer || facts.end == AttemptEnd::Gap;
    return isConnectionFault && facts.isStream && facts.idleResumes < maxIdleResumes;
}

bool canRetry(const AttemptFacts &facts)
{
    const bool isSafe = facts.isIdempotent || !facts.mayHaveRun;
    return isSafe && facts.attempts < maxAttempts;
}

} // namespace

NextStep giveUpStep(const AttemptFacts &facts)
{
    const bool isDoubt = !facts.isIdempotent && facts.mayHaveRun;
    const ResultCode code
        = isDoubt && facts.end != AttemptEnd::DeadlinePassed ? ResultCode::KeyOutcomeUnknown : codeOf(facts.end);
    return {StepKind::GiveUp, code, outcomeOf(facts)};
}

NextStep nextStep(const AttemptFacts &facts)
{
    switch (facts.end) {
    case AttemptEnd::Whole:
    case AttemptEnd::Rejected:
        return {StepKind::Finish, ResultCode::Ok, Outcome::Ran};
    case AttemptEnd::CallerGone:
        return {StepKind::Abandon, ResultCode::RequestCancelled, outcomeOf(facts)};
    case AttemptEnd::DeadlinePassed:
    case AttemptEnd::Forbidden:
        return giveUpStep(facts);
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
    if (canResume(facts)) {
        return {StepKind::Resume, ResultCode::Ok, Outcome::Unknown};
    }
    if (canRetry(facts)) {
        return {StepKind::Retry, ResultCode::Ok, Outcome::Unknown};
    }
    return giveUpStep(facts);
}

} // namespace magnolia::entry
