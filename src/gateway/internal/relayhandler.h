// Handles requests that peers without a path to the upstreams relay to this instance.
#pragma once

#include "gateway/irequesthandler.h"

namespace magnolia::gateway
{

class CallerHandler;

class RelayHandler : public IRequestHandler
{
public:
    explicit RelayHandler(CallerHandler &callerHandler);

    [[nodiscard]] std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter) override;
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] std::optional<Milliseconds> deadlineOf(const httpwire::RequestHead &head) const override;
    void refuseUnread(const httpwire::RequestHead &head, std::string_view reason, Milliseconds retryAfter,
        IResponseWriter &responseWriter) override;
    [[nodiscard]] bool isClosing() const override;

private:
    CallerHandler &m_callerHandler;
};

} // namespace magnolia::gateway
