// What follows an attempt: nothing that must not run twice is sent again, and "not run" is said only with proof.
#include "entry/nextstep.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace magnolia;
using namespace magnolia::entry;

namespace
{

constexpr AttemptEnd allEnds[] = {AttemptEnd::Whole, AttemptEnd::CallerGone, AttemptEnd::DeadlinePassed,
    AttemptEnd::Forbidden, AttemptEnd::ConnectFailed, AttemptEnd::Leaving, AttemptEnd::Refused, AttemptEnd::Rejected,
    AttemptEnd::StreamUnknown, AttemptEnd::Silent, AttemptEnd::Broken, AttemptEnd::WrongAnswer, AttemptEnd::Gap};

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

TEST_CASE("work that must not run twice is never retried once it may have run")
{
    forAllContexts([](const AttemptContext &context) {
        if (!context.isIdempotent && context.mayHaveRun) {
            INFO(toString(context.end));
            CHECK(nextStep(context).kind != StepKind::Retry);
        }
    });
}

TEST_CASE("not run is said only where no byte may have left")
{
    forAllContexts([](const AttemptContext &context) {
        const NextStep step = nextStep(context);
        if (step.kind == StepKind::GiveUp && context.mayHaveRun) {
            INFO(toString(context.end));
            CHECK(step.outcome != Outcome::NotRun);
        }
    });
}

TEST_CASE("every end leads to an answer in a bounded number of steps")
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

TEST_CASE("an error that is given up on carries a code of its own")
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

TEST_CASE("a silent stream is asked for again before another upstream is used")
{
    AttemptContext context;
    context.end = AttemptEnd::Silent;
    context.isStream = true;
    context.mayHaveRun = true;
    CHECK(nextStep(context).kind == StepKind::Resume);
    context.resumesWithoutProgress = maxResumesWithoutProgress;
    CHECK(nextStep(context).kind == StepKind::Retry);
}
