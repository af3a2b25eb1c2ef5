// Routes and authorises requests before they are placed.
#include "gateway/internal/callerhandler.h"

#include "catalogue/routing.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/exchangelimits.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/heldrequest.h"
#include "gateway/internal/retryafter.h"
#include "gateway/iresponsewriter.h"

namespace magnolia::gateway
{

namespace
{

/** Part of the memory limit that held requests may use, and their size without a limit. */
constexpr std::uint64_t heldMemoryDivisor = 16;
constexpr Bytes defaultMaxHeldSize{16U * 1024 * 1024};
/** Connections that waited from the start are accepted and read within this time after they are let in. */
constexpr Milliseconds acceptTime{50};
/** Held requests that are handed over before the event loop serves others. */
constexpr std::size_t releaseBatch = 32;

Bytes maxHeldSize(const GatewaySettings &settings)
{
    return settings.maxMemory.count() > 0 ? Bytes{settings.maxMemory.count() / heldMemoryDivisor} : defaultMaxHeldSize;
}

} // namespace

CallerHandler::CallerHandler(GatewayContext &context)
    : m_context(context)
    , m_startedAt(context.loop.now())
{
}

ReadLimits CallerHandler::limits() const
{
    if (!m_context.catalogue) {
        return {};
    }
    const catalogue::CallerLimits &limits = m_context.catalogue->limits;
    return {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
}

std::optional<Milliseconds> CallerHandler::deadlineOf(const httpwire::RequestHead &head) const
{
    const double deadline = readNumber(head.fields.value(m_context.settings.names.deadline));
    if (deadline <= 0) {
        return std::nullopt;
    }
    return Milliseconds(static_cast<std::int64_t>(std::min(deadline, 1e9)));
}

void CallerHandler::refuseUnread(const httpwire::RequestHead &head, std::string_view reason, Milliseconds retryAfter,
    IResponseWriter &responseWriter)
{
    refuse(head, 503, reason, false, responseWriter, retryAfter);
}

void CallerHandler::refuseUnreadRelayed(const httpwire::RequestHead &head, std::string_view reason,
    Milliseconds retryAfter, IResponseWriter &responseWriter)
{
    refuse(head, 503, reason, true, responseWriter, retryAfter);
}

bool CallerHandler::isClosing() const
{
    return m_context.stopDeadline.has_value();
}

std::shared_ptr<IActiveRequest> CallerHandler::handle(
    httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    return begin(std::nullopt, std::move(head), std::move(body), receivedAt, responseWriter);
}

std::shared_ptr<IActiveRequest> CallerHandler::handleRelayed(RelayOrigin origin, httpwire::RequestHead head,
    std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    m_context.metrics.increment("magnolia_gateway_relay_requests_total");
    logging::write(logging::Level::Info, "gateway", "relay_received",
        {{"request", head.fields.value(m_context.settings.names.requestId)},
            {"peer", std::string_view(origin.instance)}, {"elapsed_ms", std::int64_t{origin.elapsed.count()}},
            {"max_upstreams", std::int64_t{origin.maxUpstreams}}});
    const MonoTime callerReceivedAt = receivedAt - origin.elapsed;
    return begin(std::move(origin), std::move(head), std::move(body), callerReceivedAt, responseWriter);
}

std::shared_ptr<IActiveRequest> CallerHandler::begin(std::optional<RelayOrigin> origin, httpwire::RequestHead head,
    std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    const bool isRelayed = origin.has_value();
    if (!m_context.catalogue) {
        return handleWithoutConfiguration(
            isRelayed, !isRelayed, std::move(head), std::move(body), receivedAt, responseWriter);
    }
    const catalogue::Catalogue &catalogue = *m_context.catalogue;
    const catalogue::Route *route = catalogue::findRoute(catalogue, head.fields.value("Host"), head.path());
    if (route == nullptr) {
        refuse(head, 404, "no_route", isRelayed, responseWriter);
        return nullptr;
    }
    std::optional<catalogue::OrganisationEntry> organisation;
    if (catalogue.requiresApiKeys) {
        const WireNames &names = m_context.settings.names;
        const std::string_view key = catalogue::extractApiKey(head.fields.value(names.authorization), names.keyScheme);
        if (const catalogue::OrganisationEntry *found = catalogue::findOrganisation(catalogue, key)) {
            organisation = *found;
        } else if (!route->isPublic) {
            refuse(head, 401, "unknown_key", isRelayed, responseWriter);
            return nullptr;
        }
    }
    const auto exchange = std::make_shared<Exchange>(m_context, *route, std::move(organisation), std::move(head),
        std::move(body), receivedAt, std::move(origin), responseWriter);
    exchange->start();
    return exchange->isDone() ? nullptr : exchange;
}

std::shared_ptr<IActiveRequest> CallerHandler::handleWithoutConfiguration(bool isRelayed, bool mayHold,
    httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    const MonoTime now = m_context.loop.now();
    StartupRequest request;
    request.sinceStart = toMilliseconds(now - m_startedAt);
    request.sinceRead = toMilliseconds(now - receivedAt);
    request.unreadTime
        = receivedAt - m_startedAt <= startupUnreadTime + acceptTime ? startupUnreadTime : Milliseconds(0);
    request.deadline = deadlineOf(head);
    request.isRelayed = isRelayed;
    const auto held = std::make_shared<HeldRequest>(
        m_context.loop, *this, std::move(head), std::move(body), receivedAt, responseWriter);
    request.size = held->size();
    request.heldSize = m_heldSize;
    request.maxHeldSize = mayHold && !m_context.stopDeadline ? maxHeldSize(m_context.settings) : Bytes{0};
    const StartupDecision decision = decideAtStartup(request, m_context.random);
    if (decision.action == StartupAction::Refuse) {
        m_context.metrics.increment("magnolia_gateway_startup_requests_total", "action=\"refused\"");
        refuse(held->takeHead(), 503, "no_configuration", isRelayed, responseWriter, decision.time);
        return nullptr;
    }
    m_context.metrics.increment("magnolia_gateway_startup_requests_total", "action=\"held\"");
    logging::write(logging::Level::Info, "gateway", "held",
        {{"request", held->requestId(m_context.settings.names.requestId)},
            {"max_ms", std::int64_t{decision.time.count()}}});
    m_held.push_back(held);
    ++m_heldCount;
    m_heldSize += held->size();
    held->hold(decision.time);
    return held;
}

std::shared_ptr<IActiveRequest> CallerHandler::handleHeld(
    httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    if (!m_context.catalogue) {
        return handleWithoutConfiguration(false, false, std::move(head), std::move(body), receivedAt, responseWriter);
    }
    return begin(std::nullopt, std::move(head), std::move(body), receivedAt, responseWriter);
}

void CallerHandler::removeHeld(const HeldRequest &request)
{
    --m_heldCount;
    m_heldSize -= request.size();
    // Most end in order of arrival, by their time limits or together.
    while (!m_held.empty()) {
        const auto first = m_held.front().lock();
        if (first && first->isHeld()) {
            break;
        }
        m_held.pop_front();
    }
}

void CallerHandler::releaseHeld()
{
    if (m_isReleasing) {
        return;
    }
    for (std::size_t i = 0; i < releaseBatch && !m_held.empty(); ++i) {
        const auto first = m_held.front().lock();
        m_held.pop_front();
        if (first) {
            first->release();
        }
    }
    if (!m_held.empty()) {
        m_isReleasing = true;
        m_context.loop.defer([this] {
            m_isReleasing = false;
            releaseHeld();
        });
    }
}

std::size_t CallerHandler::heldCount() const
{
    return m_heldCount;
}

void CallerHandler::refuse(const httpwire::RequestHead &head, int status, std::string_view reason, bool isRelayed,
    IResponseWriter &responseWriter, std::optional<Milliseconds> retryAfter)
{
    const WireNames &names = m_context.settings.names;
    const std::string_view id = head.fields.value(names.requestId);
    httpwire::ResponseHead responseHead;
    responseHead.status = status;
    if (!id.empty()) {
        responseHead.fields.add(names.requestId, id);
    }
    if (isRelayed) {
        responseHead.fields.add(relayNotRunField, reason);
    }
    if (retryAfter) {
        responseHead.fields.add(names.retryAfter, writeRetryAfter(*retryAfter));
    }
    m_context.metrics.increment(
        "magnolia_gateway_requests_total", "outcome=\"refused\",status=\"" + std::to_string(status) + '"');
    logging::write(logging::Level::Info, "gateway", "denied",
        {{"request", id}, {"status", std::int64_t{status}}, {"reason", reason}, {"host", head.fields.value("Host")},
            {"path", head.path()},
            {"configuration", m_context.catalogue ? m_context.catalogue->version : std::uint64_t{0}}});
    responseWriter.sendResponse(std::move(responseHead), {});
}

} // namespace magnolia::gateway
