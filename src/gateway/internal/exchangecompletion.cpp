// What follows a failed or silent attempt, and how a request ends.
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/reachabilityprobe.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/iresponsewriter.h"
#include "limits/backoff.h"
#include "limits/retries.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** How often a request that waits for its upstream is looked at. */
constexpr Milliseconds silenceCheckInterval{150};
/** A stream that is silent for so long, or twice its target, is tested by a new connection. */
constexpr Milliseconds suspiciousSilence{500};
/** Connections to upstreams are priced: one that was reached is not tested again before. */
constexpr Milliseconds silenceTestPause{1000};
/** Share of the callers' patience after which a silent stream is moved, though its upstream can be reached. */
constexpr double movedAfter = 0.65;
/** Times that one request is sent at most, resumptions included. */
constexpr int mostSends = 4;

} // namespace

void Exchange::onCallFailed(CallFailure failure, const std::string &detail)
{
    const auto self = shared_from_this();
    const bool wasSent = failure != CallFailure::NotConnected;
    m_call.reset();
    logging::write(logging::Level::Info, "gateway", "attempt_failed",
        {{"request", std::string_view(m_requestId)},
            {"upstream", std::string_view(m_context.upstreams.nameOf(m_decision.primary))},
            {"detail", std::string_view(detail)}, {"events_passed", m_eventsPassed},
            {"after_ms", std::int64_t{toMilliseconds(m_context.loop.now() - m_sentAt).count()}}});
    m_attempts.end(wasSent ? AttemptEnd::MayHaveRun : AttemptEnd::NotRun);
    switch (failure) {
    case CallFailure::NotConnected:
        endAttempt(outliers::AttemptOutcome::Unreachable);
        break;
    case CallFailure::Stale:
        endAttempt(std::nullopt);
        break;
    case CallFailure::Broken:
    case CallFailure::Malformed:
        endAttempt(outliers::AttemptOutcome::Failed);
        break;
    }
    retryOrGiveUp(detail);
}

bool Exchange::mayRepeat() const
{
    const bool isAllowed = m_attempts.isSurelyNotRun() || m_route.isRepeatable();
    const bool hasSends = m_attempts.sends() < std::max(mostSends, m_route.maxAttempts);
    const bool isWithinRoute = isStream() || m_attempts.isSurelyNotRun() || m_attempts.sends() < m_route.maxAttempts;
    return isAllowed && hasSends && isWithinRoute && left() > leastTime;
}

bool Exchange::canMove()
{
    if (m_context.stopAt || !mayRepeat() || retryBudget(m_context, m_service).balance < 1) {
        return false;
    }
    std::vector<placement::UpstreamKey> usable;
    const placement::Decision decision = decide(m_service, usable);
    return decision.verdict == placement::Verdict::Send && decision.primary != m_decision.primary;
}

void Exchange::retryOrGiveUp(std::string_view reason)
{
    const std::string why(reason);
    if (!mayRepeat()) {
        giveUp(why, m_route.latencyTarget);
        return;
    }
    if (!limits::takeRetry(retryBudget(m_context, m_service))) {
        giveUp("retry_budget", m_route.latencyTarget);
        return;
    }
    place();
}

void Exchange::giveUp(std::string_view reason, Milliseconds retryAfter)
{
    if (m_isBegun) {
        logEnd("broken_off", 0, reason);
        m_isDone = true;
        m_answer.breakOff();
        return;
    }
    if (m_attempts.isSurelyNotRun()) {
        fail(503, reason, limits::jitteredRetryAfter(retryAfter, m_context.random));
        return;
    }
    fail(502, reason, std::nullopt);
}

void Exchange::onTimeout()
{
    const auto self = shared_from_this();
    if (m_isDone) {
        return;
    }
    const bool isBegun = m_isBegun;
    if (m_call) {
        m_call->cancel();
        m_call.reset();
        m_attempts.end(AttemptEnd::MayHaveRun);
        endAttempt(std::nullopt);
    }
    if (isBegun) {
        giveUp("timeout", Milliseconds{0});
        return;
    }
    fail(504, "timeout", std::nullopt);
}

void Exchange::fail(int status, std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    const WireNames &names = m_context.settings.names;
    httpwire::ResponseHead head;
    head.status = status;
    if (!m_requestId.empty()) {
        head.fields.add(names.requestId, m_requestId);
    }
    if (retryAfter) {
        const std::int64_t ms = retryAfter->count();
        std::string fraction = std::to_string(ms % 1000);
        fraction.insert(0, 3 - fraction.size(), '0');
        head.fields.add(names.retryAfter, std::to_string(ms / 1000) + '.' + fraction);
    }
    logEnd(status == 503 ? "refused" : "failed", status, reason);
    m_isDone = true;
    m_answer.answer(std::move(head), {});
}

void Exchange::cancel()
{
    const auto self = shared_from_this();
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    if (m_call) {
        m_call->cancel();
        m_call.reset();
    }
    m_attempts.end(AttemptEnd::MayHaveRun);
    endAttempt(std::nullopt);
    logEnd("cancelled", 0, "caller_gone");
}

void Exchange::checkSilence()
{
    m_silenceTimer = m_context.loop.after(silenceCheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->m_isDone) {
            self->checkSilence();
        }
    });
    const Milliseconds silence = toMilliseconds(m_context.loop.now() - m_progressAt);
    if (!m_call || silence < silenceCheckInterval || !m_route.isRepeatable()) {
        return;
    }
    const bool isWriting = m_isStreaming && m_eventsPassed > 0;
    const Milliseconds expected = isWriting ? 2 * m_route.gapTarget
        : isStream()                        ? 2 * m_decision.predictedFirstEvent
                                            : 2 * m_route.latencyTarget;
    const Milliseconds suspicious = std::max(suspiciousSilence, expected);
    const Milliseconds longest = isStream()
        ? Milliseconds(static_cast<std::int64_t>(static_cast<double>(patience().count()) * movedAfter))
        : std::max(suspiciousSilence, 4 * m_route.latencyTarget);
    if (silence > longest && canMove()) {
        m_call->cancel();
        onCallFailed(CallFailure::Broken, "silent");
        return;
    }
    if (silence > suspicious && !m_isTestingSilence && m_context.loop.now() - m_silenceTestedAt > silenceTestPause) {
        m_isTestingSilence = true;
        m_silenceTestedAt = m_context.loop.now();
        ReachabilityTest::run(
            m_context.loop, m_call->address(), [weak = weak_from_this(), attempt = m_attemptNumber](bool isReached) {
                if (const auto self = weak.lock()) {
                    self->onSilenceTested(attempt, isReached);
                }
            });
    }
}

void Exchange::onSilenceTested(std::uint64_t attempt, bool isReached)
{
    m_isTestingSilence = false;
    const bool isSilentStill = m_context.loop.now() - m_progressAt > suspiciousSilence;
    if (m_isDone || !m_call || attempt != m_attemptNumber || isReached || !isSilentStill) {
        return;
    }
    recordEvidence(m_context, m_decision.primary, outliers::AttemptOutcome::Unreachable);
    // Silence alone ends no answer: where it cannot go on elsewhere, the connection's own end is waited for.
    if (!canMove()) {
        return;
    }
    m_call->cancel();
    onCallFailed(CallFailure::Broken, "out of reach");
}

void Exchange::logEnd(std::string_view outcome, int status, std::string_view reason)
{
    m_context.metrics.increment("magnolia_gateway_requests_total",
        "outcome=\"" + std::string(outcome) + "\",status=\"" + std::to_string(status) + '"');
    const Milliseconds first = m_isBegun ? toMilliseconds(m_firstEventAt - m_receivedAt) : elapsed();
    if (m_isBegun) {
        m_context.metrics.observe("magnolia_gateway_first_event_seconds",
            "target_ms=\"" + std::to_string(m_route.latencyTarget.count()) + '"', m_firstEventAt - m_receivedAt);
    }
    // What went wrong is kept longest where lines have to be dropped.
    const auto level = outcome == "served" || outcome == "cancelled" ? logging::Level::Info : logging::Level::Warning;
    logging::write(level, "gateway", "ended",
        {{"request", std::string_view(m_requestId)}, {"route", std::string_view(m_route.name)}, {"outcome", outcome},
            {"status", std::int64_t{status}}, {"reason", reason},
            {"upstream", std::string_view(m_context.upstreams.nameOf(m_decision.primary))},
            {"sends", std::int64_t{m_attempts.sends()}}, {"may_have_run", m_attempts.mayHaveRun()},
            {"first_ms", std::int64_t{first.count()}}, {"total_ms", std::int64_t{elapsed().count()}},
            {"predicted_ms", std::int64_t{m_decision.predictedFirstEvent.count()}},
            {"target_ms", std::int64_t{m_route.latencyTarget.count()}}, {"events", m_eventsPassed}});
}

} // namespace magnolia::gateway
