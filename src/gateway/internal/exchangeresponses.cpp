// Handles responses of upstreams and forwards them to callers.
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/coldupstreams.h"
#include "gateway/internal/crashmonitor.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/internal/upstreamsignals.h"
#include "gateway/iresponsewriter.h"
#include "streaming/eventform.h"

namespace magnolia::gateway
{

namespace
{

/** Maximum size of a plain response, which is buffered as a whole. */
constexpr std::size_t maxBufferedResponseBytes = 8 * 1024 * 1024;
/** Upper bound of the bytes of a stream between two events that are forwarded. */
constexpr std::size_t maxBytesBetweenEvents = 1024 * 1024;
/** Time to connect within which a request arrives early enough for the window in which a cold upstream's budget counts.
 */
constexpr Milliseconds slowConnectTime{50};
/** Interval at which a paused plain answer looks for free memory. */
constexpr Milliseconds answerPauseInterval{20};
/** Weight of the newest measurement in the moving average of a service's response times. */
constexpr double serviceTimeWeight = 0.1;

/** Returns the response head for the caller, without hop-by-hop fields. */
httpwire::ResponseHead forwardedHead(const httpwire::ResponseHead &upstream)
{
    httpwire::ResponseHead head;
    head.status = upstream.status;
    head.reason = upstream.reason;
    const std::string_view options = upstream.fields.value("Connection");
    for (const auto &[name, value] : upstream.fields.entries) {
        if (!httpwire::isHopByHop(name, options) && !isRelayField(name)) {
            head.fields.add(name, value);
        }
    }
    return head;
}

} // namespace

void Exchange::onCallConnected()
{
    if (isRelaying()) {
        return;
    }
    m_context.path->onConnected(m_decision.primary);
    if (m_context.loop.now() - m_sentAt >= slowConnectTime) {
        // The request arrives later than it was counted, so that it counts for the next second too.
        m_context.cold->recordRequest(m_decision.primary);
    }
}

void Exchange::onOtherResponseHead(const httpwire::ResponseHead &head)
{
    if (isRelaying()) {
        return;
    }
    // An upstream speaks of itself in every answer, but a late one does not tell that a limit has ended since.
    UpstreamSignals signals = readUpstreamSignals(head, m_context.settings.names);
    signals.hasLimitStatement = signals.requestsPerSecond.has_value();
    recordUpstreamSignals(m_context, m_decision.primary, signals);
}

void Exchange::onResponseHead(const httpwire::ResponseHead &head)
{
    m_upstreamHead = head;
    m_lastProgressAt = m_context.loop.now();
    if (isRelaying()) {
        onRelayHead();
    } else {
        m_context.cold->onReached(m_decision.primary);
        recordUpstreamSignals(m_context, m_decision.primary, readUpstreamSignals(head, m_context.settings.names));
    }
    const std::string_view encoding = head.fields.value("Content-Encoding");
    const bool isEncoded = !encoding.empty() && !httpwire::isSameFieldName(encoding, "identity");
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && (isEncoded || !head.fields.has(m_context.settings.names.signature))) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Malformed, isEncoded ? "encoded answer" : "no signature");
        return;
    }
    m_isStreaming = isStream() && isSuccess;
    if (m_context.memory.limits().isLimited()) {
        // The head may have been larger.
        m_upstreamCall->setMaxInput(memory::minStreamBytes);
    }
    if (!m_isStreaming && readNumber(head.fields.value("Content-Length")) > maxBufferedResponseBytes) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Malformed, "answer too large");
        return;
    }
    recordReportedLoad();
}

/** Reads the reported load ("RUNNING,WAITING,SLOTS") and records the requests that this instance does not know of. */
void Exchange::recordReportedLoad()
{
    if (isRelaying()) {
        return;
    }
    const std::string_view load = m_upstreamHead.fields.value(m_context.settings.names.upstreamLoad);
    const std::size_t comma = load.find(',');
    if (comma == std::string_view::npos) {
        return;
    }
    const std::string_view rest = load.substr(comma + 1);
    const int reported
        = static_cast<int>(readNumber(load.substr(0, comma)) + readNumber(rest.substr(0, rest.find(','))));
    const int tracked = m_context.placements.requestCount(m_decision.primary);
    m_context.unreported[m_decision.primary] = {std::max(0, reported - tracked), m_context.loop.now()};
}

void Exchange::onResponseBody(std::string_view bytes)
{
    if (m_isStreaming) {
        m_bytesSinceEvent += bytes.size();
        m_eventSplitter.feed(bytes);
        forwardEvents();
        return;
    }
    m_lastProgressAt = m_context.loop.now();
    m_upstreamBody.append(bytes);
    m_heldAnswer.set(Bytes{m_upstreamBody.size()}, m_context.loop.now());
    if (m_upstreamBody.size() > maxBufferedResponseBytes) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Malformed, "answer too large");
        return;
    }
    if (!m_answerId) {
        if (!m_context.answers.isInForce()) {
            return;
        }
        m_answerId = m_context.answers.add();
    }
    m_context.answers.recordBytes(*m_answerId, answerBytesLeft());
    readOnOrPause();
}

Bytes Exchange::answerBytesLeft() const
{
    const double stated = readNumber(m_upstreamHead.fields.value("Content-Length"));
    const std::size_t size = stated > 0 ? static_cast<std::size_t>(stated) : maxBufferedResponseBytes;
    return Bytes{size - std::min(size, m_upstreamBody.size())};
}

void Exchange::leaveAnswerOrder()
{
    if (m_answerId) {
        m_context.answers.remove(*m_answerId);
        m_answerId.reset();
    }
}

void Exchange::readOnOrPause()
{
    if (!m_upstreamCall || !m_answerId) {
        return;
    }
    if (m_context.answers.mayRead(*m_answerId, m_context.loop.now())) {
        m_upstreamCall->setReading(true);
        return;
    }
    if (!m_wasAnswerPaused) {
        m_wasAnswerPaused = true;
        m_context.metrics.increment("magnolia_gateway_paused_answers_total");
        logging::write(logging::Level::Info, "gateway", "answer_paused",
            {{"request", std::string_view(m_requestId)},
                {"upstream", std::string_view(m_context.upstreams.idOf(m_decision.primary))},
                {"received_bytes", std::uint64_t{m_upstreamBody.size()}},
                {"held_bytes", m_context.memory.held().count()}});
    }
    m_upstreamCall->setReading(false);
    // The upstream is not silent; its answer stays in the connection.
    m_lastProgressAt = m_context.loop.now();
    m_context.loop.after(answerPauseInterval, [weak = weak_from_this(), attempt = m_attemptNumber] {
        const auto self = weak.lock();
        if (self && !self->m_isDone && self->m_attemptNumber == attempt) {
            self->readOnOrPause();
        }
    });
}

void Exchange::forwardEvents()
{
    std::string forwarded;
    bool isMalformed = false;
    while (const auto event = m_eventSplitter.next()) {
        const streaming::EventForm form = streaming::eventForm(event->raw);
        if (form == streaming::EventForm::Malformed) {
            isMalformed = true;
            break;
        }
        if (form == streaming::EventForm::Empty) {
            continue;
        }
        const auto id = streaming::EventId::parse(event->idText);
        const bool isRepeated = m_lastEventId && *id <= *m_lastEventId;
        if (isRepeated) {
            continue;
        }
        m_lastEventId = id;
        forwarded.append(event->raw);
        ++m_forwardedEvents;
    }
    passOn(forwarded);
    if (m_isDone) {
        return;
    }
    if (isMalformed) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Malformed, "bytes in the stream that are no event");
        return;
    }
    if (m_eventSplitter.isOverflowed() || (forwarded.empty() && m_bytesSinceEvent > maxBytesBetweenEvents)) {
        m_upstreamCall->cancel();
        onCallFailed(CallFailure::Malformed, "no further event among the bytes");
    }
}

void Exchange::passOn(const std::string &events)
{
    if (events.empty()) {
        return;
    }
    m_bytesSinceEvent = 0;
    m_lastProgressAt = m_context.loop.now();
    m_lastEventAt = m_lastProgressAt;
    if (!m_attemptFirstEventAt) {
        m_attemptFirstEventAt = m_context.loop.now();
    }
    if (!m_isPastBeginning && m_context.loop.now() - *m_attemptFirstEventAt >= maxBeginningTime) {
        m_isPastBeginning = true;
        m_context.crashes->onSuccess(m_traits, m_fingerprint);
    }
    if (m_placementId != 0) {
        const placement::Placement *placed = m_context.placements.find(m_placementId);
        if (placed != nullptr && !placed->isDecoding) {
            m_context.placements.setDecoding(m_placementId, m_context.loop.now());
            m_context.fleet->announceDecoding(m_placementId);
            const double elapsedMs
                = static_cast<double>(toMilliseconds(m_context.loop.now() - m_attemptStartedAt).count());
            const double predictedMs
                = std::max<double>(60, static_cast<double>(m_decision.predictedFirstEvent.count()));
            m_context.outliers.recordSlowdown(m_decision.primary, elapsedMs / predictedMs);
        }
    }
    if (!m_hasResponseBegun) {
        m_hasResponseBegun = true;
        m_firstEventAt = m_context.loop.now();
        m_responseWriter.beginResponse(responseHead());
    }
    m_responseWriter.sendChunk(events);
    if (m_upstreamCall && m_responseWriter.pendingBytes() > m_context.memory.streamLimit()) {
        m_upstreamCall->setReading(false);
    }
}

void Exchange::onDrained()
{
    if (m_upstreamCall) {
        m_upstreamCall->setReading(true);
    }
}

void Exchange::onResponseComplete()
{
    m_upstreamCall.reset();
    if (m_isStreaming) {
        finishStream();
        return;
    }
    onFullResponse();
}

/** A stream without framing ends with its connection; only an end between events is one that its upstream meant. */
void Exchange::finishStream()
{
    if (m_eventSplitter.hasPartialEvent() || m_forwardedEvents == 0) {
        onCallFailed(CallFailure::Broken,
            m_forwardedEvents == 0 ? "stream ended before its first event" : "stream ended within an event");
        return;
    }
    m_attempts.end(AttemptExecution::MayHaveRun);
    endAttempt(outliers::AttemptOutcome::Succeeded);
    m_context.crashes->onSuccess(m_traits, m_fingerprint);
    logOutcome("served", m_upstreamHead.status, {});
    m_isDone = true;
    m_responseWriter.endResponse();
}

httpwire::ResponseHead Exchange::responseHead() const
{
    httpwire::ResponseHead head = forwardedHead(m_upstreamHead);
    if (m_relayOrigin) {
        head.fields.add(relayUpstreamField, m_context.upstreams.idOf(m_decision.primary));
    }
    return head;
}

void Exchange::onFullResponse()
{
    if (isRelaying()) {
        onRelayedResponse();
        return;
    }
    const WireNames &names = m_context.settings.names;
    const int status = m_upstreamHead.status;
    const bool isNotRun = m_upstreamHead.fields.has(names.notExecuted) || status == 421;
    if (isNotRun) {
        m_attempts.end(AttemptExecution::NotRun);
        // An engine that reports an unavailable or full helper is not at fault itself.
        const std::string_view fault = m_upstreamHead.fields.value(names.upstreamAtFault);
        endAttempt(outliers::AttemptOutcome::Refused);
        logging::write(logging::Level::Info, "gateway", "upstream_refused",
            {{"request", std::string_view(m_requestId)},
                {"upstream", std::string_view(m_context.upstreams.idOf(m_decision.primary))},
                {"status", std::int64_t{status}}, {"at_fault", fault},
                {"load", m_upstreamHead.fields.value(names.upstreamLoad)}});
        if (!fault.empty()) {
            for (const placement::UpstreamKey helper : m_decision.helpers) {
                const KnownUpstream *knownUpstream = m_context.upstreams.find(helper);
                if (knownUpstream != nullptr && knownUpstream->entry.address == fault) {
                    recordAttemptOutcome(m_context, helper, outliers::AttemptOutcome::Unreachable);
                    m_context.cold->onUnreachable(helper);
                }
            }
        }
        retryOrGiveUp("refused_by_upstream");
        return;
    }
    const bool isSuccess = status >= 200 && status < 300;
    const bool isFault = status >= 500;
    m_attempts.end(AttemptExecution::MayHaveRun);
    if (!isStream() && isSuccess) {
        const double elapsedMs = static_cast<double>(toMilliseconds(m_context.loop.now() - m_attemptStartedAt).count());
        double &mean = m_context.meanServiceMs.try_emplace(m_service, initialServiceMs).first->second;
        mean += serviceTimeWeight * (elapsedMs - mean);
    }
    endAttempt(isFault ? outliers::AttemptOutcome::Failed : outliers::AttemptOutcome::Succeeded);
    if (!isFault) {
        m_context.crashes->onSuccess(m_traits, m_fingerprint);
    }
    if (isFault && canRetry()) {
        retryOrGiveUp("upstream_failed");
        return;
    }
    forwardResponse();
}

/** Forwards the upstream's response unless its status would imply that the request did not run, which is unknown. */
void Exchange::forwardResponse()
{
    const int status = m_upstreamHead.status;
    if (m_hasResponseBegun) {
        // The caller already has part of the stream, so a failed resumption can only break it off.
        logOutcome("broken_off", status, "resumption_failed");
        m_isDone = true;
        m_responseWriter.abortResponse();
        return;
    }
    if (status == 408 || status == 421 || status == 429 || status == 503) {
        respondWithError(502, "upstream_unclear", std::nullopt);
        return;
    }
    logOutcome("served", status, {});
    m_isDone = true;
    leaveAnswerOrder();
    // From here on the answer is counted as queued output.
    m_heldAnswer.set(Bytes{0}, m_context.loop.now());
    m_responseWriter.sendResponse(responseHead(), m_upstreamBody);
}

} // namespace magnolia::gateway
