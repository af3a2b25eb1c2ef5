// Runs an admitted request.
#include "entry/internal/run/requestrun.h"

#include "upstreams/iupstreamclient.h"

#include "entry/activerequests.h"
#include "entry/cancelqueue.h"
#include "entry/icalleranswer.h"
#include "entry/idispatchpolicy.h"
#include "entry/internal/answer/requestlog.h"
#include "entry/internal/run/upstreamcalls.h"
#include "entry/stopdeadline.h"

#include <nlohmann/json.hpp>

namespace magnolia::entry
{

namespace
{

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpTooManyRequests = 429;
constexpr int httpServerError = 500;
constexpr int httpUnavailable = 503;
// Time by which a reservation that is not released outlives its request.
constexpr Milliseconds reservationMargin{5000};

std::string completeAnswerJson(const RunState &state)
{
    nlohmann::ordered_json json;
    json["request_id"] = state.request.id.value();
    json["text"] = state.assembledText;
    json["tokens"] = state.cursor.nextOffset();
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool isRefusal(AttemptEnd end)
{
    return end == AttemptEnd::Leaving || end == AttemptEnd::Refused;
}

} // namespace

RequestRun::RequestRun(RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer,
    UpstreamChoice first, std::optional<KeyGranted> grant)
    : m_services(services)
    , m_state(request, answer, services.stopDeadline)
    , m_group(services.client, services.cancelQueue)
    , m_grant(grant)
{
    m_services.activeRequests.add(m_state.request.id);
    useUpstream(std::move(first));
}

RequestRun::~RequestRun()
{
    m_services.activeRequests.remove(m_state.request.id);
}

RunReport RequestRun::run()
{
    bool isResume = false;
    while (true) {
        const AttemptResult result = isResume ? attemptResume() : attemptNew();
        logAttempt(m_state, result.end);
        const NextStep step = nextStep(attemptContext(result.end));
        isResume = step.kind == StepKind::Resume;
        if (!isResume) {
            endAttempt(result.end);
        }
        if (result.end == AttemptEnd::ProcessEnding) {
            m_services.stopDeadline.recordCutRequest();
        }
        switch (step.kind) {
        case StepKind::Finish:
            sendCompleteAnswer();
            return makeReport(ResultCode::Ok, Outcome::Ran);
        case StepKind::Abandon:
            return makeReport(ResultCode::RequestCancelled, settleKey(false, step.outcome));
        case StepKind::Resume:
            ++m_state.resumes;
            ++m_state.resumesWithoutProgress;
            break;
        case StepKind::Retry:
            if (const auto chosen = chooseNextUpstream(); !chosen) {
                const NextStep end = giveUpStep(attemptContext(result.end));
                return giveUp({end.code, chosen.error().detail, end.outcome, chosen.error().retryAfter});
            }
            break;
        case StepKind::GiveUp:
            return giveUp(result.error.value_or(Error{step.code, "", step.outcome}));
        }
    }
}

void RequestRun::useUpstream(UpstreamChoice choice)
{
    logChoice(m_state.request, choice);
    m_state.triedUpstreams.push_back(choice.upstream);
    m_state.choice = std::move(choice);
    m_state.resumesWithoutProgress = 0;
    ++m_state.attempts;
}

Result<void> RequestRun::chooseNextUpstream()
{
    auto choice = m_services.policy.retry(m_state.request, m_state.triedUpstreams, m_services.clock.monotonicNow());
    if (!choice) {
        return tl::unexpected(choice.error());
    }
    useUpstream(std::move(*choice));
    return {};
}

AttemptResult RequestRun::attemptNew()
{
    CallContext context{m_services.owner, timeLeft(), m_services.silenceTimeout, ""};
    if (!m_state.choice.group.empty()) {
        const kvmemory::GroupPlan plan = groupPlan();
        context.reservation = plan.id;
        // Registered as active before an engine can report it, so that the reconciliation does not release it.
        m_reservation = RequestId(plan.id);
        m_services.activeRequests.add(*m_reservation);
        if (const auto reserved = m_group.reserve(plan); !reserved) {
            return {AttemptEnd::Refused, std::nullopt};
        }
    }
    const bool isModel = m_state.request.requestClass.kind == RequestKind::Model;
    const auto call = isModel ? completionCall(m_state.request, m_state.choice, m_state.cursor.nextOffset(), context)
                              : serviceCall(m_state.request, m_state.choice, context);
    return attempt(call, true);
}

kvmemory::GroupPlan RequestRun::groupPlan() const
{
    kvmemory::GroupPlan plan;
    // Each attempt has its own id, so that the delayed release of one attempt cannot release the memory of a later one.
    plan.id = m_state.request.id.value() + '.' + std::to_string(m_state.attempts);
    plan.owner = m_services.owner;
    plan.members = m_state.choice.group;
    plan.tokensPerMember = m_state.choice.memoryPerMember;
    plan.timeToLive = timeLeft() + reservationMargin;
    return plan;
}

AttemptResult RequestRun::attemptResume()
{
    const CallContext context{m_services.owner, timeLeft(), m_services.silenceTimeout, ""};
    return attempt(resumeCall(m_state.request, m_state.choice, m_state.cursor.nextOffset(), context), false);
}

AttemptResult RequestRun::attempt(const upstreams::UpstreamCall &call, bool isDispatch)
{
    const bool couldHaveRun = m_state.mayHaveRun;
    const auto mayDispatch = [&]() -> Result<void> {
        if (m_services.clock.monotonicNow() >= m_state.request.finishDue()) {
            return makeError(ResultCode::DeadlineExceeded, "the finish time passed before the request was sent");
        }
        if (m_services.clock.monotonicNow() >= m_state.endDue()) {
            return makeError(ResultCode::AdmissionStopping, "the process ends before the request was sent");
        }
        if (isDispatch && m_grant) {
            if (auto confirmed = m_services.keys.confirmDispatch(m_state.request, *m_grant); !confirmed) {
                return confirmed;
            }
        }
        if (isDispatch) {
            m_isDispatched = true;
            m_state.mayHaveRun = true;
        }
        return {};
    };
    auto upstream = m_services.client.send(call, mayDispatch);
    if (!upstream) {
        if (upstream.error().code == ResultCode::UpstreamConnectFailed) {
            return {AttemptEnd::ConnectFailed, std::nullopt};
        }
        if (upstream.error().code == ResultCode::UpstreamBroken) {
            return {AttemptEnd::Broken, std::nullopt};
        }
        Error error = upstream.error();
        error.outcome = couldHaveRun ? Outcome::Unknown : error.outcome;
        return {AttemptEnd::Forbidden, error};
    }
    const AttemptEnd end = readAnswer(**upstream, !isDispatch);
    if (isRefusal(end)) {
        recordNotRun(couldHaveRun);
    }
    return {end, std::nullopt};
}

// The upstream reported that it did not run the request.
void RequestRun::recordNotRun(bool couldHaveRun)
{
    m_state.mayHaveRun = couldHaveRun;
    if (m_grant && !couldHaveRun) {
        m_services.keys.retract(m_state.request, *m_grant);
    }
}

AttemptEnd RequestRun::readAnswer(upstreams::IUpstreamAnswer &upstream, bool isResume)
{
    const ReaderContext context = readerContext();
    if (const AttemptEnd end = awaitHead(upstream, m_state, context); end != AttemptEnd::Whole) {
        return end;
    }
    const int status = upstream.status();
    if (status == httpUnavailable && upstream.header("X-Leaving") == "1") {
        return AttemptEnd::Leaving;
    }
    if (upstream.header("X-Request-Id") != m_state.request.id.value()) {
        return AttemptEnd::WrongAnswer;
    }
    if (m_state.request.requestClass.kind == RequestKind::Service) {
        return readServiceAnswer(upstream);
    }
    if (status == httpOk) {
        return forwardStream(upstream, m_state, context);
    }
    if (isResume) {
        return status == httpNotFound ? AttemptEnd::StreamUnknown : AttemptEnd::Broken;
    }
    if (status == httpUnavailable || status == httpTooManyRequests) {
        return AttemptEnd::Refused;
    }
    return status >= httpServerError ? AttemptEnd::Broken : readRejection(upstream);
}

// Any answer of a plain service is forwarded, including errors. The exception is 503 for an idempotent request, which
// is retried at another upstream.
AttemptEnd RequestRun::readServiceAnswer(upstreams::IUpstreamAnswer &upstream)
{
    if (upstream.status() == httpUnavailable && m_state.request.requestClass.isIdempotent) {
        return AttemptEnd::Refused;
    }
    std::string body;
    const AttemptEnd end = readAnswerBody(upstream, m_state, readerContext(), m_services.maxAnswerSize.count(), body);
    if (end == AttemptEnd::Whole) {
        m_completeAnswer = {upstream.status(), upstream.header("Content-Type"), std::move(body)};
    }
    return end;
}

AttemptEnd RequestRun::readRejection(upstreams::IUpstreamAnswer &upstream)
{
    std::string body;
    const AttemptEnd end = readAnswerBody(upstream, m_state, readerContext(), m_services.maxAnswerSize.count(), body);
    if (end != AttemptEnd::Whole) {
        return end;
    }
    m_completeAnswer = {upstream.status(), upstream.header("Content-Type"), std::move(body)};
    return AttemptEnd::Rejected;
}

AttemptContext RequestRun::attemptContext(AttemptEnd end) const
{
    AttemptContext context;
    context.end = end;
    context.isIdempotent = m_state.request.requestClass.isIdempotent;
    context.isStream = m_state.request.requestClass.kind == RequestKind::Model;
    context.mayHaveRun = m_state.mayHaveRun;
    context.forwardedTokens = m_state.cursor.nextOffset();
    context.attempts = m_state.attempts;
    context.resumesWithoutProgress = m_state.resumesWithoutProgress;
    return context;
}

void RequestRun::endAttempt(AttemptEnd end)
{
    const bool isEnded = end == AttemptEnd::Whole || end == AttemptEnd::Rejected || end == AttemptEnd::StreamUnknown;
    const bool mayHoldStream = !isEnded && !isRefusal(end) && end != AttemptEnd::Forbidden
        && m_state.request.requestClass.kind == RequestKind::Model && m_isDispatched;
    if (mayHoldStream) {
        m_services.cancelQueue.cancel(m_state.choice.address, m_state.request.id);
    }
    releaseGroup();
    m_services.policy.recordAttemptEnd(
        m_state.request, m_state.choice, end, Tokens(m_state.cursor.nextOffset()), m_services.clock.monotonicNow());
}

void RequestRun::releaseGroup()
{
    m_group.release();
    if (m_reservation) {
        m_services.activeRequests.remove(*m_reservation);
        m_reservation.reset();
    }
}

void RequestRun::sendCompleteAnswer()
{
    const bool isModel = m_state.request.requestClass.kind == RequestKind::Model;
    if (isModel && m_state.cursor.isDone()) {
        if (m_state.request.wantsStream) {
            m_state.answer.finishStream();
            settleKey(true, Outcome::Ran);
            return;
        }
        m_completeAnswer = {httpOk, "application/json", completeAnswerJson(m_state)};
    }
    settleKey(true, Outcome::Ran);
    m_state.answer.sendComplete(m_completeAnswer.status, m_completeAnswer.contentType, m_completeAnswer.body);
}

// Called before an error or a non-streamed answer is sent, so that a repeated request finds the outcome of the key.
Outcome RequestRun::settleKey(bool isWhole, Outcome outcome)
{
    if (!m_grant) {
        return outcome;
    }
    const KeyGranted grant = *m_grant;
    m_grant.reset();
    if (isWhole) {
        m_services.keys.complete(m_state.request, grant, m_completeAnswer);
        return Outcome::Ran;
    }
    if (m_state.mayHaveRun) {
        m_services.keys.loseAnswer(m_state.request, grant);
        return outcome;
    }
    return m_services.keys.close(m_state.request, grant);
}

RunReport RequestRun::giveUp(const Error &error)
{
    Error settledError = error;
    settledError.outcome = settleKey(false, error.outcome);
    const Outcome thisAttempt = m_state.mayHaveRun ? settledError.outcome : Outcome::NotRun;
    m_state.answer.sendError(settledError, thisAttempt);
    RunReport report = makeReport(settledError.code, settledError.outcome);
    report.thisAttempt = thisAttempt;
    return report;
}

RunReport RequestRun::makeReport(ResultCode code, Outcome outcome)
{
    RunReport report;
    report.code = code;
    report.outcome = outcome;
    report.thisAttempt = outcome;
    report.attempts = m_state.attempts;
    report.resumes = m_state.resumes;
    report.generated = Tokens(m_state.cursor.nextOffset());
    report.upstream = m_state.choice.upstream;
    if (m_state.firstTokenAt) {
        report.timeToFirstToken = toMilliseconds(*m_state.firstTokenAt - m_state.request.arrivedAt);
    }
    const std::string labels = "class=\"" + metrics::escapeLabel(m_state.request.requestClass.id.value()) + '"';
    m_services.metrics.merge("magnolia_token_gap_seconds", labels, m_state.tokenGaps);
    return report;
}

ReaderContext RequestRun::readerContext()
{
    // A plain service may be silent until the finish time of its class: a slow one and a lost connection look the same.
    const bool isModel = m_state.request.requestClass.kind == RequestKind::Model;
    const Milliseconds silenceTimeout = isModel ? m_services.silenceTimeout : m_state.request.requestClass.finishTarget;
    return {m_services.clock, silenceTimeout, [this] {
                m_services.policy.recordFirstToken(m_state.request, m_services.clock.monotonicNow());
            }};
}

Milliseconds RequestRun::timeLeft() const
{
    return std::max(toMilliseconds(m_state.endDue() - m_services.clock.monotonicNow()), Milliseconds(0));
}

} // namespace magnolia::entry
