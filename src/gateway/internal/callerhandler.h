// Handles requests of callers: finds the route and the organisation, then starts an exchange.
#pragma once

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
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] bool isClosing() const override;

private:
    void refuse(
        const httpwire::RequestHead &head, int status, std::string_view reason, IResponseWriter &responseWriter);

    GatewayContext &m_context;
};

} // namespace magnolia::gateway
