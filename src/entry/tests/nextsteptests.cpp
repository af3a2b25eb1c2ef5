// Tests of the step after an attempt: non-idempotent requests that may have run are not sent again, and the outcome
// NotRun is reported only if it is certain.
#include "entry/nextstep.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace magnolia;
using namespace magnolia::entry;

namespace
{

constexpr AttemptEnd allEnds[] = {AttemptEnd::Whole, AttemptEnd::CallerGone, AttemptEnd::DeadlinePassed,
    AttemptEnd::ProcessEnding, AttemptEnd::Forbidden, AttemptEnd::ConnectFailed, AttemptEnd::Leaving,
    AttemptEnd::Refused, AttemptEnd::Rejected, AttemptEnd::StreamUnknown, AttemptEnd::Silent, AttemptEnd::Broken,
    AttemptEnd::WrongAnswer, AttemptEnd::Gap};

void forAllContexts(const std::function<void(const AttemptContext &)> &check)
{
    for (const AttemptEnd end : allEnds) {
        for (unsigned bits = 0; bits < 8; ++bits) {
            for (const std::uint64_t tokens : {0, 7}) {
                for (const std::uint32_t attempts : {1U, maxAttempts}) {
                    for (const std::uint32_t resumes : {0U, maxResumesWithoutProgress}) {
                        check({end, (bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0, tokens, attempts, resumes});
                    }
                }
            }
        }
    }
}

} // namespace

TEST_CASE("a non-idempotent request is never retried after it may have run")
{
    forAllContexts([](const AttemptContext &context) {
        if (!context.isIdempotent && context.mayHaveRun) {
            INFO(toString(context.end));
            CHECK(nextStep(context).kind != StepKind::Retry);
        }
    });
}

TEST_CASE("the outcome NotRun is reported only if no byte can have been sent")
{
    forAllContexts([](const AttemptContext &context) {
        const NextStep step = nextStep(context);
        if (step.kind == StepKind::GiveUp && context.mayHaveRun) {
            INFO(toString(context.end));
            CHECK(step.outcome != Outcome::NotRun);
        }
    });
}

TEST_CASE("every end of an attempt is final once the limits of attempts and resumptions are reached")
{
    forAllContexts([](const AttemptContext &context) {
        AttemptContext last = context;
        last.attempts = maxAttempts;
        last.resumesWithoutProgress = maxResumesWithoutProgress;
        const StepKind kind = nextStep(last).kind;
        INFO(toString(context.end));
        CHECK((kind == StepKind::Finish || kind == StepKind::Abandon || kind == StepKind::GiveUp));
    });
}

TEST_CASE("giving up reports a specific error code")
{
    forAllContexts([](const AttemptContext &context) {
        const NextStep step = nextStep(context);
        if (step.kind == StepKind::GiveUp && context.end != AttemptEnd::Forbidden) {
            INFO(toString(context.end));
            CHECK(step.code != ResultCode::Internal);
            CHECK(step.code != ResultCode::Ok);
        }
    });
}

TEST_CASE("a silent stream is resumed at the same upstream before another upstream is tried")
{
    AttemptContext context;
    context.end = AttemptEnd::Silent;
    context.isStream = true;
    context.mayHaveRun = true;
    CHECK(nextStep(context).kind == StepKind::Resume);
    context.resumesWithoutProgress = maxResumesWithoutProgress;
    CHECK(nextStep(context).kind == StepKind::Retry);
}
