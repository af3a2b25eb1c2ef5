// The requests of callers: finds route and organisation, and begins an exchange.
#pragma once

#include "gateway/irequesthandler.h"

namespace magnolia::gateway
{

struct GatewayContext;

class CallerHandler : public ICallHandler
{
public:
    explicit CallerHandler(GatewayContext &context);

    [[nodiscard]] std::shared_ptr<ICall> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, ICallAnswer &answer) override;
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] bool isClosing() const override;

private:
    void refuse(const httpwire::RequestHead &head, int status, std::string_view reason, ICallAnswer &answer);

    GatewayContext &m_context;
};

} // namespace magnolia::gateway
