// Sends requests through peers while this instance can reach no upstream.
#include "fleet/relaypeers.h"
#include "framework/global/hashing.h"
#include "framework/httpwire/messagewriter.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/memoryreservation.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/upstreamcall.h"
#include "gateway/internal/upstreamsignals.h"

#include <algorithm>

namespace magnolia::gateway
{

namespace
{

/** Peers to which one request is relayed at most; peers may be partitioned as well and not know it yet. */
constexpr std::size_t maxRelayPeers = 3;
/** Upstreams on which a request may run at one peer. If the peer is lost, it counts as having run on all of them. */
constexpr int upstreamsPerRelay = 1;
constexpr int refusedStatus = 503;
constexpr int minFailureStatus = 500;

} // namespace

int Exchange::maxAttempts() const
{
    return m_relayOrigin ? std::min(m_route.maxAttempts, m_relayOrigin->maxUpstreams) : m_route.maxAttempts;
}

bool Exchange::isRelaying() const
{
    return m_isRelaying;
}

bool Exchange::mayRelay() const
{
    return !m_relayOrigin && m_context.path->detector().isPartitioned() && m_relayPeers.size() < maxRelayPeers
        && static_cast<int>(m_attempts.possiblyRunOn().size()) < m_route.maxAttempts;
}

bool Exchange::relay()
{
    const fleet::RelayNeeds needs{
        m_context.settings.dataCentre.value(), m_catalogue->version, m_relayPeers, [this](const fleet::Peer &peer) {
            // A peer of an earlier build would send the request to an evacuated data centre.
            const bool isObeying
                = m_context.evacuatedSince.empty() || peer.hasCapability(fleet::Capability::Evacuations);
            return isObeying
                && catalogue::mayBeSentTo(
                    m_homes, m_context.settings.regions, DataCentreId(peer.dataCentre), ownRegion(m_context.settings));
        }};
    const fleet::Peer *peer
        = fleet::chooseRelayPeer(m_context.fleet->table(), needs, m_context.loop.now(), m_context.random);
    if (peer == nullptr) {
        return false;
    }
    UpstreamCallRequest request;
    request.address = peer->relayAddress;
    request.method = m_head.method;
    request.requestId = m_requestId;
    request.requestIdField = m_context.settings.names.requestId;
    request.notExecutedField = relayNotRunField;
    request.canReuseConnection = isStream() && m_route.isRepeatable();
    if (m_context.memory.limits().isLimited()) {
        // Many streams may each read once more before they find that memory is short.
        request.maxInput = memory::minStreamBytes;
    }
    request.bytes = relayedRequestBytes();
    request.mayStillSend = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && !self->mustBeRefusedInStop();
    };
    m_decision = {};
    m_isRelaying = true;
    m_relayPeers.push_back(peer->instance);
    resetAttempt();
    m_sentAt = m_context.loop.now();
    ++m_context.relayedRequests[peer->instance];
    m_context.metrics.increment("magnolia_gateway_relayed_total");
    logging::write(logging::Level::Info, "gateway", "relayed",
        {{"request", std::string_view(m_requestId)}, {"route", std::string_view(m_route.name)},
            {"peer", std::string_view(peer->instance)}, {"elapsed_ms", std::int64_t{elapsed().count()}},
            {"configuration", m_catalogue->version}});
    m_attempts.begin(stableHash(peer->instance));
    m_upstreamCall
        = std::make_shared<UpstreamCall>(m_context.loop, m_context.connectionPool, std::move(request), *this);
    m_upstreamCall->start();
    return true;
}

/** The caller's request with its key, which the peer checks, and its deadline, from which the peer takes the elapsed
 * time. */
std::string Exchange::relayedRequestBytes() const
{
    const WireNames &names = m_context.settings.names;
    const std::string_view options = m_head.fields.value("Connection");
    httpwire::RequestHead head;
    head.method = m_head.method;
    head.target = m_head.target;
    for (const auto &[name, value] : m_head.fields.entries) {
        const bool isSetHere = httpwire::isSameFieldName(name, "Expect")
            || (m_lastEventId && httpwire::isSameFieldName(name, names.lastEventId));
        if (!isSetHere && !isRelayField(name) && !httpwire::isHopByHop(name, options)) {
            head.fields.add(name, value);
        }
    }
    if (m_lastEventId) {
        head.fields.add(names.lastEventId, m_lastEventId->text());
    }
    head.fields.add(relayFromField, m_context.settings.instance.value());
    head.fields.add(relayElapsedField, std::to_string(elapsed().count()));
    head.fields.add(relayMaxUpstreamsField, std::to_string(upstreamsPerRelay));
    if (!m_body.empty() || m_head.fields.has("Content-Length") || m_head.fields.has("Transfer-Encoding")) {
        head.fields.add("Content-Length", std::to_string(m_body.size()));
    }
    return httpwire::writeRequestHead(head) + m_body;
}

void Exchange::onPartitioned()
{
    const auto self = shared_from_this();
    const bool isSent = m_upstreamCall && m_upstreamCall->isSent();
    if (m_isDone || m_isRelaying || isSent) {
        return;
    }
    withdrawAttempt();
    place();
}

/** An upstream that is leaving or names a limit states it in its answer, which this instance passes on. */
void Exchange::onRelayHead()
{
    const std::string_view id = m_upstreamHead.fields.value(relayUpstreamField);
    if (id.empty()) {
        return;
    }
    UpstreamSignals signals = readUpstreamSignals(m_upstreamHead, m_context.settings.names);
    // A pause is asked of the peer only.
    signals.pause.reset();
    recordUpstreamSignals(m_context, UpstreamIndex::keyOf(UpstreamId(std::string(id))), signals);
}

void Exchange::onRelayFailed(CallFailure failure, const std::string &detail)
{
    const bool wasSent = failure != CallFailure::NotConnected && failure != CallFailure::Withdrawn;
    logging::write(logging::Level::Info, "gateway", "relay_failed",
        {{"request", std::string_view(m_requestId)}, {"peer", std::string_view(m_relayPeers.back())},
            {"detail", std::string_view(detail)}, {"events_passed", m_forwardedEvents}});
    m_isRelaying = false;
    m_attempts.end(wasSent ? AttemptExecution::MayHaveRun : AttemptExecution::NotSent);
    if (wasSent) {
        retryOrGiveUp(detail);
    } else {
        place();
    }
}

void Exchange::onRelayedResponse()
{
    const std::string reason(m_upstreamHead.fields.value(relayNotRunField));
    if (!reason.empty()) {
        m_attempts.end(AttemptExecution::NotRun);
        logging::write(logging::Level::Info, "gateway", "relay_refused",
            {{"request", std::string_view(m_requestId)}, {"peer", std::string_view(m_relayPeers.back())},
                {"reason", std::string_view(reason)}});
        const double seconds = readNumber(m_upstreamHead.fields.value(m_context.settings.names.retryAfter));
        const auto retryAfter = Milliseconds(static_cast<std::int64_t>(std::min(seconds, 1e6) * 1000));
        if (isFinalRefusal(reason) && !m_hasResponseBegun && m_attempts.hasCertainlyNotRun()) {
            // The peer has chosen the time by its load, and names none if the caller has too little left.
            respondWithError(
                refusedStatus, reason, retryAfter > Milliseconds{0} ? std::optional(retryAfter) : std::nullopt);
            return;
        }
        if (isFinalRefusal(reason) || !mayRelay()) {
            giveUp(reason, outageRetryAfter());
            return;
        }
        m_isRelaying = false;
        if (readNumber(m_upstreamHead.fields.value(relaySendsField)) > 0) {
            retryOrGiveUp(reason);
        } else {
            place();
        }
        return;
    }
    m_attempts.end(AttemptExecution::MayHaveRun);
    const bool isOfUpstream = m_upstreamHead.fields.has(m_context.settings.names.signature);
    const bool isFailure = !isOfUpstream || m_upstreamHead.status >= minFailureStatus;
    if (isFailure && canRetry()) {
        m_isRelaying = false;
        retryOrGiveUp(isOfUpstream ? "upstream_failed" : "relay_failed");
        return;
    }
    if (isOfUpstream) {
        forwardResponse();
        return;
    }
    // The peer itself could not tell whether the request has run.
    giveUp("relay_failed", Milliseconds{0});
}

} // namespace magnolia::gateway
