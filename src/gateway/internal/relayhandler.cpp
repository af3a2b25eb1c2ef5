// Accepts relayed requests.
#include "gateway/internal/relayhandler.h"

#include "gateway/internal/callerhandler.h"
#include "gateway/internal/relayprotocol.h"
#include "gateway/iresponsewriter.h"

namespace magnolia::gateway
{

namespace
{

/** Room in a request head for the fields of the protocol. */
constexpr std::size_t relayFieldBytes = 1024;
constexpr int badRequestStatus = 400;

} // namespace

RelayHandler::RelayHandler(CallerHandler &callerHandler)
    : m_callerHandler(callerHandler)
{
}

std::shared_ptr<IActiveRequest> RelayHandler::handle(
    httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    auto origin = takeRelayOrigin(head);
    if (!origin) {
        responseWriter.sendResponse({badRequestStatus, {}, false, {}}, {});
        return nullptr;
    }
    return m_callerHandler.handleRelayed(
        std::move(*origin), std::move(head), std::move(body), receivedAt, responseWriter);
}

ReadLimits RelayHandler::limits() const
{
    ReadLimits limits = m_callerHandler.limits();
    limits.maxHeaderBytes += relayFieldBytes;
    return limits;
}

std::optional<Milliseconds> RelayHandler::deadlineOf(const httpwire::RequestHead &head) const
{
    return m_callerHandler.deadlineOf(head);
}

void RelayHandler::refuseUnread(const httpwire::RequestHead &head, std::string_view reason, Milliseconds retryAfter,
    IResponseWriter &responseWriter)
{
    m_callerHandler.refuseUnreadRelayed(head, reason, retryAfter, responseWriter);
}

bool RelayHandler::isClosing() const
{
    return m_callerHandler.isClosing();
}

} // namespace magnolia::gateway
