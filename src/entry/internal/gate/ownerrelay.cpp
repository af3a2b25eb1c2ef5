// Forwards a request to the instance that owns its idempotency key.
#include "entry/internal/gate/ownerrelay.h"

#include "upstreams/iupstreamclient.h"

#include "entry/icalleranswer.h"
#include "entry/internal/run/runstate.h"
#include "entry/internal/run/streamreader.h"
#include "entry/internal/run/upstreamcalls.h"
#include "entry/stopdeadline.h"

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds ownerRetryAfter{1000};

RunReport answerWithError(ICallerAnswer &answer, const Error &error, Outcome thisAttempt)
{
    answer.sendError(error, thisAttempt);
    RunReport report;
    report.code = error.code;
    report.outcome = error.outcome;
    report.thisAttempt = thisAttempt;
    return report;
}

// Once bytes have been sent to the owner, only the owner knows the outcome.
RunReport answerOutcomeUnknown(ICallerAnswer &answer, AttemptEnd end)
{
    const Error error{ResultCode::KeyOutcomeUnknown,
        "the answer of the key owner is incomplete: " + std::string(toString(end)), Outcome::Unknown, ownerRetryAfter};
    return answerWithError(answer, error, Outcome::Unknown);
}

// Forwards the stream of the owner unchanged: the owner has checked every event, and the last one may be an error.
AttemptEnd forwardBytes(upstreams::IUpstreamAnswer &upstream, RunState &state, const IClock &clock)
{
    while (clock.monotonicNow() < state.endDue()) {
        const upstreams::ReceiveResult received = upstream.receive(maxWait);
        switch (received.state) {
        case upstreams::ReceiveState::Data:
            if (!state.answer.writeStream(received.bytes)) {
                return AttemptEnd::CallerGone;
            }
            break;
        case upstreams::ReceiveState::Waiting:
            if (state.answer.isDisconnected()) {
                return AttemptEnd::CallerGone;
            }
            break;
        case upstreams::ReceiveState::End:
            return AttemptEnd::Whole;
        case upstreams::ReceiveState::Broken:
            return AttemptEnd::Broken;
        }
    }
    return clock.monotonicNow() < state.request.finishDue() ? AttemptEnd::ProcessEnding : AttemptEnd::DeadlinePassed;
}

AttemptEnd forwardAnswer(RunnerServices &services, upstreams::IUpstreamAnswer &upstream, RunState &state)
{
    // The owner enforces the time limits, so its connection may be silent until the finish time of the class.
    const ReaderContext context{services.clock, state.request.requestClass.finishTarget, [] {}};
    if (const AttemptEnd end = awaitHead(upstream, state, context); end != AttemptEnd::Whole) {
        return end;
    }
    if (upstream.header("X-Request-Id") != state.request.id.value()) {
        return AttemptEnd::WrongAnswer;
    }
    const std::string contentType = upstream.header("Content-Type");
    if (contentType.starts_with("text/event-stream")) {
        const AttemptEnd end = forwardBytes(upstream, state, services.clock);
        if (end == AttemptEnd::Whole) {
            state.answer.finishStream();
        }
        return end;
    }
    std::string body;
    const AttemptEnd end = readAnswerBody(upstream, state, context, services.maxAnswerSize.count(), body);
    if (end == AttemptEnd::Whole) {
        state.answer.sendComplete(upstream.status(), contentType, body);
    }
    return end;
}

} // namespace

RunReport relayToOwner(
    RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, const KeyOwnedBy &owner)
{
    RunState state(request, answer, services.stopDeadline);
    const Milliseconds timeLeft = toMilliseconds(state.endDue() - services.clock.monotonicNow());
    const auto call = ownerCall(request, owner.address, {services.owner, timeLeft, services.silenceTimeout, ""});
    auto upstream = services.client.send(call, []() -> Result<void> {
        return {};
    });
    if (!upstream) {
        const bool hasSentBytes = upstream.error().outcome != Outcome::NotRun;
        const Error error{ResultCode::KeyOwnerUnreachable, upstream.error().detail, Outcome::Unknown, ownerRetryAfter};
        return answerWithError(answer, error, hasSentBytes ? Outcome::Unknown : Outcome::NotRun);
    }
    const AttemptEnd end = forwardAnswer(services, **upstream, state);
    if (end == AttemptEnd::Whole) {
        return {};
    }
    if (end == AttemptEnd::CallerGone) {
        RunReport report;
        report.code = ResultCode::RequestCancelled;
        report.outcome = Outcome::Unknown;
        report.thisAttempt = Outcome::Unknown;
        return report;
    }
    if (end == AttemptEnd::ProcessEnding) {
        services.stopDeadline.recordCutRequest();
    }
    return answerOutcomeUnknown(answer, end);
}

} // namespace magnolia::entry
