// A listener that starts an exchange of the fixture for each request.
#pragma once

#include "gatewayfixture.h"

#include "gateway/listener.h"

#include <memory>
#include <string>

namespace magnolia::gateway::tests
{

class ExchangeListener : public IRequestHandler
{
public:
    /** Listens at once. Routes have long times until they are changed. */
    ExchangeListener(GatewayFixture &fixture, std::size_t maxConnections, std::size_t maxBodyBytes);
    ~ExchangeListener() override;
    ExchangeListener(const ExchangeListener &) = delete;
    ExchangeListener &operator=(const ExchangeListener &) = delete;

    std::shared_ptr<IActiveRequest> handle(
        httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter) override;
    ReadLimits limits() const override;
    bool isClosing() const override;

    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] std::uint64_t disconnectedCount() const;

    /** Route of the paths that begin with "/stream", and of all others. */
    catalogue::Route streamRoute;
    catalogue::Route plainRoute;
    std::size_t handledCount = 0;

private:
    GatewayFixture &m_fixture;
    std::size_t m_maxBodyBytes;
    std::string m_address;
    std::shared_ptr<Listener> m_listener;
};

} // namespace magnolia::gateway::tests
