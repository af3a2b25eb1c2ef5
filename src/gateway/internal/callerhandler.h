// Handles requests of callers: finds the route and the organisation, then starts an exchange. Before this instance has
// a configuration, it holds or refuses them.
#pragma once

#include "framework/global/types/bytes.h"
#include "gateway/internal/relayprotocol.h"
#include "gateway/internal/startupadmission.h"
#include "gateway/irequesthandler.h"

#include <deque>
#include <memory>
#include <optional>

namespace magnolia::gateway
{

class HeldRequest;
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
    /** Goes on with a request that was held; refuses it if there is still no configuration. */
    [[nodiscard]] std::shared_ptr<IActiveRequest> handleHeld(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter);
    /** Records that a request is no longer held. */
    void removeHeld(const HeldRequest &request);
    /** Hands over all held requests in order of arrival: a configuration has arrived, or this instance stops. */
    void releaseHeld();
    [[nodiscard]] std::size_t heldCount() const;
    [[nodiscard]] ReadLimits limits() const override;
    [[nodiscard]] std::optional<Milliseconds> deadlineOf(const httpwire::RequestHead &head) const override;
    void refuseUnread(const httpwire::RequestHead &head, std::string_view reason, Milliseconds retryAfter,
        IResponseWriter &responseWriter) override;
    /** Refuses a request that a peer relays and whose body has not been read. */
    void refuseUnreadRelayed(const httpwire::RequestHead &head, std::string_view reason, Milliseconds retryAfter,
        IResponseWriter &responseWriter);
    [[nodiscard]] bool isClosing() const override;

private:
    [[nodiscard]] std::shared_ptr<IActiveRequest> begin(std::optional<RelayOrigin> origin, httpwire::RequestHead head,
        std::string body, MonoTime receivedAt, IResponseWriter &responseWriter);
    /** Holds or refuses a request for lack of a configuration. */
    [[nodiscard]] std::shared_ptr<IActiveRequest> handleWithoutConfiguration(bool isRelayed, bool mayHold,
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter);
    void refuse(const httpwire::RequestHead &head, int status, std::string_view reason, bool isRelayed,
        IResponseWriter &responseWriter, std::optional<Milliseconds> retryAfter = std::nullopt);

    GatewayContext &m_context;
    MonoTime m_startedAt;
    // Held requests in order of arrival; their connections own them.
    std::deque<std::weak_ptr<HeldRequest>> m_held;
    std::size_t m_heldCount = 0;
    Bytes m_heldSize;
    bool m_isReleasing = false;
};

} // namespace magnolia::gateway
