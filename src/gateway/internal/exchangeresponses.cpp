// What upstreams answer, and what of it reaches the caller.
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/iresponsewriter.h"

namespace magnolia::gateway
{

namespace
{

/** An answer to a plain call larger than this is not kept in memory. */
constexpr std::size_t largestAnswer = 8 * 1024 * 1024;
/** The caller's connection may hold so much before the upstream is slowed. */
constexpr std::size_t mostPending = 256 * 1024;
/** Weight of one measured call in the mean of its service. */
constexpr double serviceTimeWeight = 0.1;

/** What the caller gets of an upstream's head: all but what concerned that connection alone. */
httpwire::ResponseHead passedHead(const httpwire::ResponseHead &upstream)
{
    httpwire::ResponseHead head;
    head.status = upstream.status;
    head.reason = upstream.reason;
    const std::string_view options = upstream.fields.value("Connection");
    for (const auto &[name, value] : upstream.fields.all) {
        if (!httpwire::isHopByHop(name, options)) {
            head.fields.add(name, value);
        }
    }
    return head;
}

} // namespace

void Exchange::onAnswerHead(const httpwire::ResponseHead &head)
{
    m_upstreamHead = head;
    m_progressAt = m_context.loop.now();
    const std::string_view encoding = head.fields.value("Content-Encoding");
    const bool isEncoded = !encoding.empty() && !httpwire::isSameName(encoding, "identity");
    const bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && (isEncoded || !head.fields.has(m_context.settings.names.signature))) {
        m_call->cancel();
        onCallFailed(CallFailure::Malformed, isEncoded ? "encoded answer" : "no signature");
        return;
    }
    m_isStreaming = isStream() && isSuccess;
    noteLoad();
}

/** "RUNNING,WAITING,SLOTS": what the upstream has, against what is known of it here. */
void Exchange::noteLoad()
{
    const std::string_view load = m_upstreamHead.fields.value(m_context.settings.names.upstreamLoad);
    const std::size_t comma = load.find(',');
    if (comma == std::string_view::npos) {
        return;
    }
    const std::string_view rest = load.substr(comma + 1);
    const int said = static_cast<int>(readNumber(load.substr(0, comma)) + readNumber(rest.substr(0, rest.find(','))));
    const int known = m_context.board.requestCount(m_decision.primary);
    m_context.unseen[m_decision.primary] = {std::max(0, said - known), m_context.loop.now()};
}

void Exchange::onAnswerBody(std::string_view bytes)
{
    m_progressAt = m_context.loop.now();
    if (m_isStreaming) {
        m_events.feed(bytes);
        onEvents();
        return;
    }
    m_upstreamBody.append(bytes);
    if (m_upstreamBody.size() > largestAnswer) {
        m_call->cancel();
        onCallFailed(CallFailure::Malformed, "answer too large");
    }
}

void Exchange::onEvents()
{
    std::string passed;
    while (const auto event = m_events.next()) {
        if (event->id && m_lastEventId && *event->id <= *m_lastEventId) {
            continue;
        }
        if (event->id) {
            m_lastEventId = event->id;
        }
        passed.append(event->raw);
        ++m_eventsPassed;
    }
    if (m_events.isOverflowed()) {
        m_call->cancel();
        onCallFailed(CallFailure::Malformed, "event too large");
        return;
    }
    if (passed.empty()) {
        return;
    }
    if (m_placement != 0) {
        const placement::Placement *placed = m_context.board.find(m_placement);
        if (placed != nullptr && !placed->isDecoding) {
            m_context.board.setDecoding(m_placement, m_context.loop.now());
            m_context.fleet->announceDecoding(m_placement);
            const double took = static_cast<double>(toMilliseconds(m_context.loop.now() - m_sentAt).count());
            const double predicted = std::max<double>(60, static_cast<double>(m_decision.predictedFirstEvent.count()));
            m_context.outliers.recordSlowdown(m_decision.primary, took / predicted);
        }
    }
    if (!m_isBegun) {
        m_isBegun = true;
        m_firstEventAt = m_context.loop.now();
        m_answer.begin(passedHead(m_upstreamHead));
    }
    m_answer.piece(passed);
    if (m_call && m_answer.pendingBytes() > mostPending) {
        m_call->setReading(false);
    }
}

void Exchange::onDrained()
{
    if (m_call) {
        m_call->setReading(true);
    }
}

void Exchange::onAnswerComplete(bool isFramed)
{
    m_call.reset();
    if (m_isStreaming) {
        finishStream(isFramed);
        return;
    }
    onWhole();
}

void Exchange::finishStream(bool isFramed)
{
    if (m_events.hasPartialEvent() || m_eventsPassed == 0 || !isFramed) {
        // Only a body that says where it ends is known to be whole.
        onCallFailed(CallFailure::Broken, isFramed ? "stream ended within an event" : "stream without a framed end");
        return;
    }
    m_attempts.end(AttemptEnd::MayHaveRun);
    endAttempt(outliers::AttemptOutcome::Succeeded);
    logEnd("served", m_upstreamHead.status, {});
    m_isDone = true;
    m_answer.end();
}

void Exchange::onWhole()
{
    const WireNames &names = m_context.settings.names;
    const int status = m_upstreamHead.status;
    const bool isNotRun = m_upstreamHead.fields.has(names.notExecuted) || status == 421;
    if (isNotRun) {
        m_attempts.end(AttemptEnd::NotRun);
        // A helper that is gone or full is no fault of the engine that says so.
        const std::string_view fault = m_upstreamHead.fields.value(names.upstreamAtFault);
        endAttempt(outliers::AttemptOutcome::Refused);
        logging::write(logging::Level::Info, "gateway", "upstream_refused",
            {{"request", std::string_view(m_requestId)},
                {"upstream", std::string_view(m_context.upstreams.nameOf(m_decision.primary))},
                {"status", std::int64_t{status}}, {"at_fault", fault},
                {"load", m_upstreamHead.fields.value(names.upstreamLoad)}});
        if (!fault.empty()) {
            for (const placement::UpstreamKey helper : m_decision.helpers) {
                const UpstreamRef *ref = m_context.upstreams.find(helper);
                if (ref != nullptr && ref->entry.address == fault) {
                    recordEvidence(m_context, helper, outliers::AttemptOutcome::Unreachable);
                }
            }
        }
        retryOrGiveUp("refused_by_upstream");
        return;
    }
    const bool isSuccess = status >= 200 && status < 300;
    const bool isFault = status >= 500;
    m_attempts.end(AttemptEnd::MayHaveRun);
    if (!isStream() && isSuccess) {
        const double took = static_cast<double>(toMilliseconds(m_context.loop.now() - m_sentAt).count());
        double &mean = m_context.serviceMs.try_emplace(m_service, firstServiceMs).first->second;
        mean += serviceTimeWeight * (took - mean);
    }
    endAttempt(isFault ? outliers::AttemptOutcome::Failed : outliers::AttemptOutcome::Succeeded);
    if (isFault && mayRepeat()) {
        retryOrGiveUp("upstream_failed");
        return;
    }
    passAnswer();
}

/** Gives the upstream's answer as it is, unless it would promise what is not known. */
void Exchange::passAnswer()
{
    const int status = m_upstreamHead.status;
    if (m_isBegun) {
        // The caller has part of a stream; a failure of its continuation can only end it.
        logEnd("broken_off", status, "resumption_failed");
        m_isDone = true;
        m_answer.breakOff();
        return;
    }
    if (status == 408 || status == 421 || status == 429 || status == 503) {
        fail(502, "upstream_unclear", std::nullopt);
        return;
    }
    logEnd("served", status, {});
    m_isDone = true;
    m_answer.answer(passedHead(m_upstreamHead), m_upstreamBody);
}

} // namespace magnolia::gateway
