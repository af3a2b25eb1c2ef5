// Handles failed and silent attempts, and completes requests.
#include "catalogue/callerbehaviour.h"
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/promptparts.h"
#include "gateway/internal/retryafter.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/iresponsewriter.h"
#include "limits/backoff.h"
#include "limits/retries.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Interval at which a request that waits for its upstream is checked for silence. */
constexpr Milliseconds silenceCheckInterval{150};
/** Minimum silence before the upstream is probed with a new connection; twice the expected time if that is longer. */
constexpr Milliseconds minSilenceBeforeProbe{500};
/** A new connection may hold a slot of the upstream, so a request does not probe its upstream again within this time.
 */
constexpr Milliseconds minProbeInterval{1000};
/** An upstream does not begin with a request sooner after it was sent than this. */
constexpr Milliseconds minBeginningTime{5};
/** The first event does not come sooner than this share of its predicted time. */
constexpr double minBeginningShare = 0.4;
/** Maximum number of attempts for one request, including resumptions, unless its route allows more. */
constexpr int maxAttemptsWithResumptions = 4;

} // namespace

void Exchange::onCallFailed(CallFailure failure, const std::string &detail)
{
    const auto self = shared_from_this();
    const bool wasSent = failure != CallFailure::NotConnected && failure != CallFailure::Withdrawn;
    m_upstreamCall.reset();
    if (isRelaying()) {
        onRelayFailed(failure, detail);
        return;
    }
    const std::string fingerprint = quarantine::toHex({m_fingerprint}).front();
    logging::write(logging::Level::Info, "gateway", "attempt_failed",
        {{"request", std::string_view(m_requestId)},
            {"upstream", std::string_view(m_context.upstreams.idOf(m_decision.primary))},
            {"detail", std::string_view(detail)}, {"head_received", m_upstreamHead.status != 0},
            {"events_passed", m_forwardedEvents}, {"shared_parts", sharedParts()},
            {"fingerprint", std::string_view(fingerprint)},
            {"after_ms", std::int64_t{toMilliseconds(m_context.loop.now() - m_attemptStartedAt).count()}}});
    m_attempts.end(wasSent ? AttemptExecution::MayHaveRun : AttemptExecution::NotSent);
    if (failure == CallFailure::ClosedOnConnect) {
        m_context.path->onConnectFailed(m_decision.primary, m_sentAt);
    }
    if (failure == CallFailure::Broken || failure == CallFailure::Stale || failure == CallFailure::ClosedOnConnect) {
        m_context.crashes->onAttemptBroken(
            {m_requestId, {m_decision.primary, m_upstreamStartedAt}, m_sentAt, isUpstreamBeginning(), m_traits});
    }
    switch (failure) {
    case CallFailure::NotConnected:
        endAttempt(std::nullopt);
        m_context.path->reportFailure(m_decision.primary, outliers::AttemptOutcome::Unreachable, m_sentAt);
        break;
    case CallFailure::Stale:
    case CallFailure::Withdrawn:
        endAttempt(std::nullopt);
        break;
    case CallFailure::ClosedOnConnect:
    case CallFailure::Broken:
    case CallFailure::Abandoned:
        endAttempt(std::nullopt);
        m_context.path->reportFailure(m_decision.primary, outliers::AttemptOutcome::Failed, m_sentAt);
        break;
    case CallFailure::Malformed:
        endAttempt(outliers::AttemptOutcome::Failed);
        break;
    }
    if (wasSent) {
        retryOrGiveUp(detail);
    } else {
        retryUnsent(detail);
    }
}

bool Exchange::isUpstreamBeginning() const
{
    const MonoTime now = m_context.loop.now();
    if (m_attemptFirstEventAt) {
        return now - *m_attemptFirstEventAt < maxBeginningTime;
    }
    const double predictedMs = isStream() ? static_cast<double>(m_decision.predictedFirstEvent.count()) : 0;
    const Milliseconds minTime
        = std::max(minBeginningTime, Milliseconds(static_cast<std::int64_t>(predictedMs * minBeginningShare)));
    return now - m_sentAt >= minTime;
}

std::vector<std::string> Exchange::sharedParts() const
{
    const auto ids = sharedPromptParts(m_head.fields.value(m_context.settings.names.promptParts));
    return {ids.begin(), ids.end()};
}

bool Exchange::canRetry() const
{
    const bool isAllowed = m_attempts.hasCertainlyNotRun() || m_route.isRepeatable();
    const bool hasAttemptsLeft = m_attempts.count() < std::max(maxAttemptsWithResumptions, maxAttempts());
    const bool isWithinRoute
        = isStream() || m_attempts.hasCertainlyNotRun() || m_attempts.possibleRunCount() < maxAttempts();
    return isAllowed && hasAttemptsLeft && isWithinRoute && remainingTime() > minRemainingTime;
}

bool Exchange::canSwitchUpstream()
{
    if (m_context.stopDeadline || !canRetry() || m_context.retryBudgets.of(m_service).balance < 1) {
        return false;
    }
    if (mayRelay()) {
        return true;
    }
    std::vector<placement::UpstreamKey> usable;
    const placement::Decision decision = choosePlacement(m_service, usable);
    return decision.verdict == placement::Verdict::Send && decision.primary != m_decision.primary;
}

void Exchange::retryOrGiveUp(std::string_view reason)
{
    const std::string reasonText(reason);
    if (!canRetry()) {
        giveUp(reasonText, timeUntilPlaceable());
        return;
    }
    if (!limits::takeRetry(m_context.retryBudgets.of(m_service))) {
        m_context.metrics.increment("magnolia_gateway_retries_withheld_total");
        // The budget does not count attempts of callers.
        giveUp("retry_budget", timeUntilPlaceable());
        return;
    }
    place();
}

void Exchange::retryUnsent(std::string_view reason)
{
    if (!mayRelay() && !canRetry()) {
        giveUp(reason, timeUntilPlaceable());
        return;
    }
    place();
}

void Exchange::awaitPath(std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    m_hasAwaitedPath = true;
    m_context.path->confirmPath(0,
        [weak = weak_from_this(), attempt = m_attemptNumber, reasonText = std::string(reason), retryAfter](
            bool /*isSound*/) {
            const auto self = weak.lock();
            if (!self || self->m_isDone || attempt != self->m_attemptNumber) {
                return;
            }
            if (self->mayRelay()) {
                self->place();
            } else {
                self->giveUp(reasonText, retryAfter);
            }
        });
}

Milliseconds Exchange::spreadRetryAfter(Milliseconds retryAfter)
{
    // Callers honour a Retry-After up to this time, and would all return then.
    const auto honoured = Milliseconds(static_cast<std::int64_t>(
        static_cast<double>(callerTime().untilDeadline.count()) * catalogue::honouredRetryAfterShare));
    return std::min(limits::jitteredRetryAfter(retryAfter, m_context.random), std::max(retryAfter, honoured));
}

void Exchange::giveUp(std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    if (m_hasResponseBegun) {
        logOutcome("broken_off", 0, reason);
        m_isDone = true;
        m_responseWriter.abortResponse();
        return;
    }
    if (m_attempts.hasCertainlyNotRun()) {
        respondWithError(503, reason, retryAfter ? std::optional(spreadRetryAfter(*retryAfter)) : std::nullopt);
        return;
    }
    respondWithError(502, reason, std::nullopt);
}

void Exchange::onTimeout()
{
    const auto self = shared_from_this();
    if (m_isDone) {
        return;
    }
    const bool hasResponseBegun = m_hasResponseBegun;
    if (m_upstreamCall) {
        m_upstreamCall->cancel();
        m_upstreamCall.reset();
        m_attempts.end(AttemptExecution::MayHaveRun);
        endAttempt(std::nullopt);
    }
    if (hasResponseBegun) {
        giveUp("timeout", Milliseconds{0});
        return;
    }
    respondWithError(504, "timeout", std::nullopt);
}

void Exchange::respondWithError(int status, std::string_view reason, std::optional<Milliseconds> retryAfter)
{
    const WireNames &names = m_context.settings.names;
    httpwire::ResponseHead head;
    head.status = status;
    if (!m_requestId.empty()) {
        head.fields.add(names.requestId, m_requestId);
    }
    if (retryAfter) {
        head.fields.add(names.retryAfter, writeRetryAfter(*retryAfter));
    }
    if (m_relayOrigin && status == 503) {
        head.fields.add(relayNotRunField, reason);
        head.fields.add(relaySendsField, std::to_string(m_attempts.count()));
    }
    logOutcome(status == 503 ? "refused" : "failed", status, reason);
    m_isDone = true;
    m_responseWriter.sendResponse(std::move(head), {});
}

void Exchange::cancel()
{
    const auto self = shared_from_this();
    if (m_isDone) {
        return;
    }
    m_isDone = true;
    if (m_upstreamCall) {
        m_upstreamCall->cancel();
        m_upstreamCall.reset();
    }
    m_attempts.end(AttemptExecution::MayHaveRun);
    endAttempt(std::nullopt);
    logOutcome("cancelled", 0, "caller_gone");
}

void Exchange::onProcessEnding()
{
    const auto self = shared_from_this();
    if (m_isDone) {
        return;
    }
    withdrawAttempt();
    giveUp("stopping", Milliseconds{0});
}

void Exchange::withdrawAttempt()
{
    const bool isSent = m_upstreamCall && m_upstreamCall->isSent();
    if (m_upstreamCall) {
        m_upstreamCall->cancel();
        m_upstreamCall.reset();
    }
    // Invalidates the callback of a memory reservation that is being acquired.
    ++m_attemptNumber;
    m_attempts.end(isSent ? AttemptExecution::MayHaveRun : AttemptExecution::NotSent);
    endAttempt(std::nullopt);
}

void Exchange::checkSilence()
{
    m_silenceTimer = m_context.loop.after(silenceCheckInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->m_isDone) {
            self->checkSilence();
        }
    });
    const Milliseconds silence = toMilliseconds(m_context.loop.now() - m_lastProgressAt);
    if (!m_upstreamCall || silence < silenceCheckInterval || !m_route.isRepeatable()) {
        return;
    }
    const bool isDecoding = m_isStreaming && m_forwardedEvents > 0;
    const Milliseconds toleratedGap = 2 * (isDecoding ? m_route.gapTarget : m_decision.predictedFirstEvent);
    const Milliseconds probeAfter = std::max(minSilenceBeforeProbe, toleratedGap);
    const Milliseconds switchAfter = std::max(probeAfter, timeOfAttempt());
    // A peer to which the request was relayed moves a silent attempt itself.
    if (silence > switchAfter && !isRelaying() && canSwitchUpstream()) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Abandoned, "silent");
        return;
    }
    if (silence > probeAfter && !m_isProbing && m_context.loop.now() - m_probedAt > minProbeInterval) {
        m_isProbing = true;
        m_probedAt = m_context.loop.now();
        const auto onProbed = [weak = weak_from_this(), attempt = m_attemptNumber](Reachability reachability) {
            if (const auto self = weak.lock()) {
                self->onReachabilityProbed(attempt, reachability);
            }
        };
        if (isRelaying()) {
            ReachabilityProbe::run(m_context.loop, m_upstreamCall->address(), onProbed);
        } else {
            m_context.path->probe(m_decision.primary, onProbed);
        }
    }
}

Milliseconds Exchange::timeOfAttempt() const
{
    const catalogue::EngineModel *const engine = engineOf(m_service);
    const Milliseconds untilFirstEvent = callerTime().untilFirstEvent(engine == nullptr ? 0 : decodeMs(*engine));
    const Milliseconds silence = toMilliseconds(m_context.loop.now() - m_lastProgressAt);
    const int laterAttempts = std::max(1, maxAttempts() - static_cast<int>(m_attempts.possiblyRunOn().size()));
    return (silence + untilFirstEvent) / (1 + laterAttempts);
}

bool Exchange::isStillSilent(std::uint64_t attempt) const
{
    return !m_isDone && m_upstreamCall && attempt == m_attemptNumber
        && m_context.loop.now() - m_lastProgressAt > minSilenceBeforeProbe;
}

void Exchange::onReachabilityProbed(std::uint64_t attempt, Reachability reachability)
{
    m_isProbing = false;
    const bool isAnswering = reachability == Reachability::Reached || reachability == Reachability::Closed;
    if (!isStillSilent(attempt) || isAnswering) {
        return;
    }
    if (isRelaying()) {
        onPathConfirmed(attempt, reachability, true);
        return;
    }
    m_context.path->confirmPath(m_decision.primary, [weak = weak_from_this(), attempt, reachability](bool isPathSound) {
        if (const auto self = weak.lock()) {
            self->onPathConfirmed(attempt, reachability, isPathSound);
        }
    });
}

void Exchange::onPathConfirmed(std::uint64_t attempt, Reachability reachability, bool isPathSound)
{
    // Open connections may go on while the path refuses new ones.
    if (!isStillSilent(attempt) || (!isPathSound && reachability == Reachability::Refused)) {
        return;
    }
    if (isPathSound && !isRelaying()) {
        recordAttemptOutcome(m_context, m_decision.primary, outliers::AttemptOutcome::Unreachable);
        m_context.cold->onUnreachable(m_decision.primary);
    }
    // Silence alone does not end an attempt: if the request cannot continue elsewhere, the attempt goes on until its
    // connection ends.
    if (!canSwitchUpstream()) {
        return;
    }
    m_upstreamCall->cancel();
    onCallFailed(CallFailure::Abandoned, "out of reach");
}

void Exchange::logOutcome(std::string_view outcome, int status, std::string_view reason)
{
    m_context.metrics.increment("magnolia_gateway_requests_total",
        "outcome=\"" + std::string(outcome) + "\",status=\"" + std::to_string(status) + '"');
    const Milliseconds first = m_hasResponseBegun ? toMilliseconds(m_firstEventAt - m_receivedAt) : elapsed();
    if (m_hasResponseBegun) {
        m_context.metrics.observe("magnolia_gateway_first_event_seconds",
            "target_ms=\"" + std::to_string(m_route.latencyTarget.count()) + '"', m_firstEventAt - m_receivedAt);
    }
    // Failures are logged as warnings, because lower levels are dropped first.
    const auto level = outcome == "served" || outcome == "cancelled" ? logging::Level::Info : logging::Level::Warning;
    logging::write(level, "gateway", "ended",
        {{"request", std::string_view(m_requestId)}, {"route", std::string_view(m_route.name)}, {"outcome", outcome},
            {"status", std::int64_t{status}}, {"reason", reason},
            {"upstream", std::string_view(m_context.upstreams.idOf(m_decision.primary))},
            {"relayed_to", m_isRelaying ? std::string_view(m_relayPeers.back()) : std::string_view()},
            {"relayed_from", m_relayOrigin ? std::string_view(m_relayOrigin->instance) : std::string_view()},
            {"sends", std::int64_t{m_attempts.count()}}, {"may_have_run", m_attempts.mayHaveRun()},
            {"first_ms", std::int64_t{first.count()}}, {"total_ms", std::int64_t{elapsed().count()}},
            {"predicted_ms", std::int64_t{m_decision.predictedFirstEvent.count()}},
            {"target_ms", std::int64_t{m_route.latencyTarget.count()}}, {"events", m_forwardedEvents}});
}

} // namespace magnolia::gateway
