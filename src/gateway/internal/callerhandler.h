// Handles requests of callers: finds the route and the organisation, then starts an exchange.
#pragma once

#include "gateway/internal/relayprotocol.h"
#include "gateway/irequesthandler.h"

namespace magnolia::gateway
{

struct GatewayContext;

class CallerHandler : public IRequestHandler
{
public:
    explicit CallerHandler(GatewayContext &context);

    [[nodiscard]] std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter) override;
    /** Handles a request that a peer relays; it is refused rather than relayed again. */
    [[nodiscard]] std::shared_ptr<IActiveRequest> handleRelayed(RelayOrigin origin, httpwire::RequestHead head,
        std::string body, MonoTime receivedAt, IResponseWriter &responseWriter);
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] bool isClosing() const override;

private:
    [[nodiscard]] std::shared_ptr<IActiveRequest> begin(std::optional<RelayOrigin> origin, httpwire::RequestHead head,
        std::string body, MonoTime receivedAt, IResponseWriter &responseWriter);
    void refuse(const httpwire::RequestHead &head, int status, std::string_view reason, bool isRelayed,
        IResponseWriter &responseWriter);

    GatewayContext &m_context;
};

} // namespace magnolia::gateway
