// Handles control requests: readiness, caller addresses, status and metrics.
#pragma once

#include "gateway/irequesthandler.h"

#include <functional>
#include <string>

namespace magnolia::gateway
{

struct ControlResponse
{
    int status = 200;
    std::string contentType;
    std::string body;
};

class ControlHandler : public IRequestHandler
{
public:
    /** `respond` is called with the path and the query string, which may be empty. */
    explicit ControlHandler(std::function<ControlResponse(std::string_view path, std::string_view query)> respond);

    [[nodiscard]] std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter) override;
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] bool isClosing() const override;

private:
    std::function<ControlResponse(std::string_view path, std::string_view query)> m_respond;
};

} // namespace magnolia::gateway
