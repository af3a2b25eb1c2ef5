// Responds to control requests from the state of the instance.
#include "gateway/internal/controlhandler.h"

#include "gateway/iresponsewriter.h"

#include <algorithm>

namespace magnolia::gateway
{

ControlHandler::ControlHandler(std::function<ControlResponse(std::string_view path, std::string_view query)> respond)
    : m_respond(std::move(respond))
{
}

std::shared_ptr<IActiveRequest> ControlHandler::handle(
    httpwire::RequestHead head, std::string /*body*/, MonoTime /*receivedAt*/, IResponseWriter &responseWriter)
{
    const std::string_view path = head.path();
    const ControlResponse response
        = m_respond(path, std::string_view(head.target).substr(std::min(path.size() + 1, head.target.size())));
    httpwire::ResponseHead responseHead;
    responseHead.status = response.status;
    if (!response.contentType.empty()) {
        responseHead.fields.add("Content-Type", response.contentType);
    }
    responseWriter.sendResponse(std::move(responseHead), response.body);
    return nullptr;
}

ReadLimits ControlHandler::limits() const
{
    return {};
}

bool ControlHandler::isClosing() const
{
    return false;
}

} // namespace magnolia::gateway
