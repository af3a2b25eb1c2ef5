// Routes and authorises requests before they are placed.
#include "gateway/internal/callerhandler.h"

#include "catalogue/routing.h"
#include "framework/logging/log.h"
#include "gateway/internal/exchange.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/retryafter.h"
#include "gateway/iresponsewriter.h"
#include "limits/backoff.h"

namespace magnolia::gateway
{

namespace
{

/** Time within which an instance that has just started receives the configuration. */
constexpr Milliseconds startupTime{300};

} // namespace

CallerHandler::CallerHandler(GatewayContext &context)
    : m_context(context)
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
        refuse(head, 503, "no_configuration", isRelayed, responseWriter);
        return nullptr;
    }
    const catalogue::Catalogue &catalogue = *m_context.catalogue;
    const catalogue::Route *route = catalogue::findRoute(catalogue, head.fields.value("Host"), head.path());
    if (route == nullptr) {
        refuse(head, 404, "no_route", isRelayed, responseWriter);
        return nullptr;
    }
    std::optional<catalogue::OrganisationEntry> organisation;
    if (catalogue.hasOrganisations) {
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

void CallerHandler::refuse(const httpwire::RequestHead &head, int status, std::string_view reason, bool isRelayed,
    IResponseWriter &responseWriter)
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
    if (status == 503) {
        const auto wait = limits::jitteredRetryAfter(startupTime, m_context.random);
        responseHead.fields.add(names.retryAfter, writeRetryAfter(wait));
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
