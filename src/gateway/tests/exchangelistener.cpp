// Implements the listener.
#include "exchangelistener.h"

#include <Poco/Net/SocketAddress.h>

#include <stdexcept>

namespace magnolia::gateway::tests
{

ExchangeListener::ExchangeListener(GatewayFixture &fixture, std::size_t maxConnections, std::size_t maxBodyBytes)
    : streamRoute(fixture.makeRoute(catalogue::RouteKind::Stream))
    , plainRoute(fixture.makeRoute(catalogue::RouteKind::AtMostOnce))
    , m_fixture(fixture)
    , m_maxBodyBytes(maxBodyBytes)
    , m_address(unusedAddress().toString())
    , m_listener(std::make_shared<Listener>(fixture.loop, *this, maxConnections, &fixture.context.memory))
{
    for (catalogue::Route *it : {&streamRoute, &plainRoute}) {
        it->timeout = Milliseconds(120'000);
        it->latencyTarget = Milliseconds(100'000);
        it->gapTarget = Milliseconds(100);
    }
    // Any number of requests may run at an upstream.
    for (auto &[name, record] : fixture.upstreamRecords) {
        record.entry.slots = 100'000;
    }
    fixture.context.upstreams.rebuild(fixture.upstreamRecords, fixture.settings.dataCentre);
    if (!m_listener->listen(m_address)) {
        throw std::runtime_error("the listener did not start");
    }
    m_listener->startAccepting();
}

ExchangeListener::~ExchangeListener()
{
    m_listener->closeAll();
}

std::shared_ptr<IActiveRequest> ExchangeListener::handle(
    httpwire::RequestHead head, std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
{
    ++handledCount;
    const catalogue::Route &route = head.path().starts_with("/stream") ? streamRoute : plainRoute;
    auto exchange = std::make_shared<Exchange>(m_fixture.context, route, std::nullopt, std::move(head), std::move(body),
        receivedAt, std::nullopt, responseWriter);
    exchange->start();
    return exchange->isDone() ? nullptr : exchange;
}

ReadLimits ExchangeListener::limits() const
{
    ReadLimits limits;
    limits.maxBodyBytes = m_maxBodyBytes;
    limits.headerTimeout = Milliseconds(60'000);
    limits.idleTimeout = Milliseconds(60'000);
    return limits;
}

bool ExchangeListener::isClosing() const
{
    return false;
}

const std::string &ExchangeListener::address() const
{
    return m_address;
}

std::uint64_t ExchangeListener::disconnectedCount() const
{
    return m_listener->disconnectedCount();
}

} // namespace magnolia::gateway::tests
