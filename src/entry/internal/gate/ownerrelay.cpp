// Passes a request on to the instance that owns its idempotency key.
#include "entry/internal/gate/ownerrelay.h"

#include "upstreams/iupstreamclient.h"

#include "entry/icalleranswer.h"
#include "entry/internal/run/runstate.h"
#include "entry/internal/run/streamreader.h"
#include "entry/internal/run/upstreamcalls.h"

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds ownerRetryAfter{1000};

RunReport refuse(ICallerAnswer &answer, const Error &error, Outcome thisAttempt)
{
    answer.sendError(error, thisAttempt);
    RunReport report;
    report.code = error.code;
    report.outcome = error.outcome;
    report.thisAttempt = thisAttempt;
    return report;
}

// Once bytes have left for the owner, only the owner knows what became of them.
RunReport refuseInDoubt(ICallerAnswer &answer, AttemptEnd end)
{
    const Error error{ResultCode::KeyOutcomeUnknown, "the owner's answer ended: " + std::string(toString(end)),
        Outcome::Unknown, ownerRetryAfter};
    return refuse(answer, error, Outcome::Unknown);
}

// The owner's stream is passed on as it is: the owner has checked every event, and its last may be an error.
AttemptEnd passBytesOn(upstreams::IUpstreamAnswer &upstream, RunState &state, const IClock &clock)
{
    while (clock.monotonicNow() < state.request.finishDue()) {
        const upstreams::ReceiveResult received = upstream.receive(waitSlice);
        switch (received.state) {
        case upstreams::ReceiveState::Data:
            if (!state.answer.writeStream(received.bytes)) {
                return AttemptEnd::CallerGone;
            }
            break;
        case upstreams::ReceiveState::Waiting:
            if (state.answer.isGone()) {
                return AttemptEnd::CallerGone;
            }
            break;
        case upstreams::ReceiveState::End:
            return AttemptEnd::Whole;
        case upstreams::ReceiveState::Broken:
            return AttemptEnd::Broken;
        }
    }
    return AttemptEnd::DeadlinePassed;
}

AttemptEnd passAnswerOn(RunnerServices &services, upstreams::IUpstreamAnswer &upstream, RunState &state)
{
    // The owner keeps the time; its connection may be silent for as long as the class allows.
    const ReaderContext context{services.clock, state.request.workClass.finish, [] {}};
    if (const AttemptEnd end = awaitHead(upstream, state, context); end != AttemptEnd::Whole) {
        return end;
    }
    if (upstream.header("X-Request-Id") != state.request.id.value()) {
        return AttemptEnd::WrongAnswer;
    }
    const std::string contentType = upstream.header("Content-Type");
    if (contentType.starts_with("text/event-stream")) {
        const AttemptEnd end = passBytesOn(upstream, state, services.clock);
        if (end == AttemptEnd::Whole) {
            state.answer.finishStream();
        }
        return end;
    }
    std::string body;
    const AttemptEnd end = readWhole(upstream, state, context, services.maxAnswer.count(), body);
    if (end == AttemptEnd::Whole) {
        state.answer.sendWhole(upstream.status(), contentType, body);
    }
    return end;
}

} // namespace

RunReport relayToOwner(
    RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, const KeyOwnedBy &owner)
{
    RunState state(request, answer);
    const Milliseconds left = toMilliseconds(request.finishDue() - services.clock.monotonicNow());
    const auto call = ownerCall(request, owner.address, {services.owner, left, services.silence, ""});
    auto upstream = services.client.send(call, []() -> Result<void> {
        return {};
    });
    if (!upstream) {
        const bool hasLeft = upstream.error().outcome != Outcome::NotRun;
        const Error error{ResultCode::KeyOwnerUnreachable, upstream.error().detail, Outcome::Unknown, ownerRetryAfter};
        return refuse(answer, error, hasLeft ? Outcome::Unknown : Outcome::NotRun);
    }
    const AttemptEnd end = passAnswerOn(services, **upstream, state);
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
    return refuseInDoubt(answer, end);
}

} // namespace magnolia::entry
