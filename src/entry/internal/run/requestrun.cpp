// One run of one request.
#include "entry/internal/run/requestrun.h"

#include "upstreams/iupstreamclient.h"

#include "entry/activerequests.h"
#include "entry/cancelqueue.h"
#include "entry/icalleranswer.h"
#include "entry/idispatchpolicy.h"
#include "entry/internal/answer/requestlog.h"
#include "entry/internal/run/upstreamcalls.h"

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
/** A reservation outlives its request by so much, where nobody releases it. */
constexpr Milliseconds reservationMargin{5000};

std::string wholeAnswer(const RunState &state)
{
    nlohmann::ordered_json json;
    json["request_id"] = state.request.id.value();
    json["text"] = state.assembled;
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
    , m_state(request, answer)
    , m_group(services.client, services.cancels)
    , m_grant(grant)
{
    m_services.active.add(m_state.request.id);
    setOut(std::move(first));
}

RequestRun::~RequestRun()
{
    m_services.active.remove(m_state.request.id);
}

RunReport RequestRun::run()
{
    bool isResume = false;
    while (true) {
        const AttemptResult result = isResume ? attemptResume() : attemptNew();
        logAttempt(m_state, result.end);
        const NextStep step = nextStep(factsOf(result.end));
        isResume = step.kind == StepKind::Resume;
        if (!isResume) {
            leaveUpstream(result.end);
        }
        switch (step.kind) {
        case StepKind::Finish:
            finishWhole();
            return report(ResultCode::Ok, Outcome::Ran);
        case StepKind::Abandon:
            return report(ResultCode::RequestCancelled, settleKey(false, step.outcome));
        case StepKind::Resume:
            ++m_state.resumes;
            ++m_state.idleResumes;
            break;
        case StepKind::Retry:
            if (const auto chosen = chooseAgain(); !chosen) {
                const NextStep end = giveUpStep(factsOf(result.end));
                return giveUp({end.code, chosen.error().detail, end.outcome, chosen.error().retryAfter});
            }
            break;
        case StepKind::GiveUp:
            return giveUp(result.error.value_or(Error{step.code, "", step.outcome}));
        }
    }
}

void RequestRun::setOut(UpstreamChoice choice)
{
    logChoice(m_state.request, choice);
    m_state.tried.push_back(choice.upstream);
    m_state.choice = std::move(choice);
    m_state.idleResumes = 0;
    ++m_state.attempts;
}

Result<void> RequestRun::chooseAgain()
{
    auto choice = m_services.policy.retry(m_state.request, m_state.tried, m_services.clock.monotonicNow());
    if (!choice) {
        return tl::unexpected(choice.error());
    }
    setOut(std::move(*choice));
    return {};
}

AttemptResult RequestRun::attemptNew()
{
    CallContext context{m_services.owner, timeLeft(), m_services.silence, ""};
    if (!m_state.choice.group.empty()) {
        const kvmemory::GroupPlan plan = groupPlan();
        context.reservation = plan.id;
        // Known as in use before any engine reports it, so that the reconciliation leaves it alone.
        m_reservation = RequestId(plan.id);
        m_services.active.add(*m_reservation);
        if (const auto held = m_group.hold(plan); !held) {
            return {AttemptEnd::Refused, std::nullopt};
        }
    }
    const bool isModel = m_state.request.workClass.kind == RequestKind::Model;
    const auto call = isModel ? completionCall(m_state.request, m_state.choice, m_state.cursor.nextOffset(), context)
                              : serviceCall(m_state.request, m_state.choice, context);
    return attempt(call, true);
}

kvmemory::GroupPlan RequestRun::groupPlan() const
{
    kvmemory::GroupPlan plan;
    // One name an attempt, so that the release of an earlier attempt cannot end a later one.
    plan.id = m_state.request.id.value() + '.' + std::to_string(m_state.attempts);
    plan.owner = m_services.owner;
    plan.members = m_state.choice.group;
    plan.tokensPerMember = m_state.choice.memoryPerMember;
    plan.timeToLive = timeLeft() + reservationMargin;
    return plan;
}

AttemptResult RequestRun::attemptResume()
{
    const CallContext context{m_services.owner, timeLeft(), m_services.silence, ""};
    return attempt(resumeCall(m_state.request, m_state.choice, m_state.cursor.nextOffset(), context), false);
}

AttemptResult RequestRun::attempt(const upstreams::UpstreamCall &call, bool isDispatch)
{
    const bool couldHaveRun = m_state.mayHaveRun;
    const auto mayDispatch = [&]() -> Result<void> {
        if (m_services.clock.monotonicNow() >= m_state.request.finishDue()) {
            return makeError(ResultCode::DeadlineExceeded, "the time passed before the request was sent");
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
        noteNotRun(couldHaveRun);
    }
    return {end, std::nullopt};
}

// By its own word the upstream did not run what was sent.
void RequestRun::noteNotRun(bool couldHaveRun)
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
    if (m_state.request.workClass.kind == RequestKind::Service) {
        return readService(upstream);
    }
    if (status == httpOk) {
        return passStreamOn(upstream, m_state, context);
    }
    if (isResume) {
        return status == httpNotFound ? AttemptEnd::StreamUnknown : AttemptEnd::Broken;
    }
    if (status == httpUnavailable || status == httpTooManyRequests) {
        return AttemptEnd::Refused;
    }
    return status >= httpServerError ? AttemptEnd::Broken : passRejectionOn(upstream);
}

// Whatever a plain service answers is its answer, errors included; only one that may be asked again is asked
// elsewhere when it is unavailable.
AttemptEnd RequestRun::readService(upstreams::IUpstreamAnswer &upstream)
{
    if (upstream.status() == httpUnavailable && m_state.request.workClass.isIdempotent) {
        return AttemptEnd::Refused;
    }
    std::string body;
    const AttemptEnd end = readWhole(upstream, m_state, readerContext(), m_services.maxAnswer.count(), body);
    if (end == AttemptEnd::Whole) {
        m_whole = {upstream.status(), upstream.header("Content-Type"), std::move(body)};
    }
    return end;
}

AttemptEnd RequestRun::passRejectionOn(upstreams::IUpstreamAnswer &upstream)
{
    std::string body;
    const AttemptEnd end = readWhole(upstream, m_state, readerContext(), m_services.maxAnswer.count(), body);
    if (end != AttemptEnd::Whole) {
        return end;
    }
    m_whole = {upstream.status(), upstream.header("Content-Type"), std::move(body)};
    return AttemptEnd::Rejected;
}

AttemptFacts RequestRun::factsOf(AttemptEnd end) const
{
    AttemptFacts facts;
    facts.end = end;
    facts.isIdempotent = m_state.request.workClass.isIdempotent;
    facts.isStream = m_state.request.workClass.kind == RequestKind::Model;
    facts.mayHaveRun = m_state.mayHaveRun;
    facts.tokensPassedOn = m_state.cursor.nextOffset();
    facts.attempts = m_state.attempts;
    facts.idleResumes = m_state.idleResumes;
    return facts;
}

void RequestRun::leaveUpstream(AttemptEnd end)
{
    const bool isEnded = end == AttemptEnd::Whole || end == AttemptEnd::Rejected || end == AttemptEnd::StreamUnknown;
    const bool mayHoldStream = !isEnded && !isRefusal(end) && end != AttemptEnd::Forbidden
        && m_state.request.workClass.kind == RequestKind::Model && m_isDispatched;
    if (mayHoldStream) {
        m_services.cancels.cancel(m_state.choice.address, m_state.request.id);
    }
    releaseGroup();
    m_services.policy.attemptEnded(
        m_state.request, m_state.choice, end, Tokens(m_state.cursor.nextOffset()), m_services.clock.monotonicNow());
}

void RequestRun::releaseGroup()
{
    m_group.release();
    if (m_reservation) {
        m_services.active.remove(*m_reservation);
        m_reservation.reset();
    }
}

void RequestRun::finishWhole()
{
    const bool isModel = m_state.request.workClass.kind == RequestKind::Model;
    if (isModel && m_state.cursor.isDone()) {
        if (m_state.request.wantsStream) {
            m_state.answer.finishStream();
            settleKey(true, Outcome::Ran);
            return;
        }
        m_whole = {httpOk, "application/json", wholeAnswer(m_state)};
    }
    settleKey(true, Outcome::Ran);
    m_state.answer.sendWhole(m_whole.status, m_whole.contentType, m_whole.body);
}

// Settled before the caller hears of it, so that a resend finds what became of the key.
Outcome RequestRun::settleKey(bool isWhole, Outcome outcome)
{
    if (!m_grant) {
        return outcome;
    }
    const KeyGranted grant = *m_grant;
    m_grant.reset();
    if (isWhole) {
        m_services.keys.complete(m_state.request, grant, m_whole);
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
    Error settled = error;
    settled.outcome = settleKey(false, error.outcome);
    const Outcome thisAttempt = m_state.mayHaveRun ? settled.outcome : Outcome::NotRun;
    m_state.answer.sendError(settled, thisAttempt);
    RunReport made = report(settled.code, settled.outcome);
    made.thisAttempt = thisAttempt;
    return made;
}

RunReport RequestRun::report(ResultCode code, Outcome outcome)
{
    RunReport made;
    made.code = code;
    made.outcome = outcome;
    made.thisAttempt = outcome;
    made.attempts = m_state.attempts;
    made.resumes = m_state.resumes;
    made.generated = Tokens(m_state.cursor.nextOffset());
    made.upstream = m_state.choice.upstream;
    if (m_state.firstTokenAt) {
        made.firstToken = toMilliseconds(*m_state.firstTokenAt - m_state.request.arrivedAt);
    }
    const std::string labels = "class=\"" + metrics::escapeLabel(m_state.request.workClass.id.value()) + '"';
    m_services.metrics.merge("magnolia_token_gap_seconds", labels, m_state.gaps);
    return made;
}

ReaderContext RequestRun::readerContext()
{
    // A plain service may be silent for as long as its class allows: nothing tells a slow one from a lost connection.
    const bool isModel = m_state.request.workClass.kind == RequestKind::Model;
    const Milliseconds silence = isModel ? m_services.silence : m_state.request.workClass.finishTarget;
    return {m_services.clock, silence, [this] {
                m_services.policy.firstTokenSeen(m_state.request, m_services.clock.monotonicNow());
            }};
}

Milliseconds RequestRun::timeLeft() const
{
    return std::max(toMilliseconds(m_state.request.finishDue() - m_services.clock.monotonicNow()), Milliseconds(0));
}

} // namespace magnolia::entry
