// Tests a complete gateway over the loopback interface: status, readiness, address directory and graceful stop.
#include "gatewayfixture.h"

#include "catalogue/routing.h"
#include "gateway/gateway.h"

#include <catch2/catch.hpp>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;

namespace
{

/** Returns two items for each read and never reports a change. */
class FakeStore : public published::IStoreClient
{
public:
    explicit FakeStore(eventloop::EventLoop &loop, Milliseconds answerTime = Milliseconds{0})
        : m_loop(loop)
        , m_answerTime(answerTime)
    {
    }

    void readPage(const std::string & /*afterKey*/, std::function<void(Result<published::StorePage>)> done) override
    {
        m_loop.after(m_answerTime, [done = std::move(done)] {
            published::StorePage page;
            page.items = {{"c", "1", 1, false}, {"u", "1", 2, false}};
            page.position = {0, 2};
            done(std::move(page));
        });
    }
    void watch(std::uint64_t /*revision*/, Milliseconds /*wait*/,
        std::function<void(Result<published::StoreChanges>)> /*done*/) override
    {
    }
    void cancelWatch() override
    {
    }
    void check(std::uint64_t /*revision*/, std::function<void(Result<published::StoreChanges>)> /*done*/) override
    {
    }

private:
    eventloop::EventLoop &m_loop;
    Milliseconds m_answerTime;
};

/** Decodes a fixed configuration with the route "/a/", one service and one upstream. */
class FakeDecoder : public published::IItemDecoder
{
public:
    explicit FakeDecoder(std::string upstreamAddress)
        : m_address(std::move(upstreamAddress))
    {
    }

    ItemKind kindOf(const std::string &key) const override
    {
        return key == "c" ? ItemKind::Configuration : ItemKind::Upstream;
    }
    std::optional<catalogue::Catalogue> decodeConfiguration(const published::StoreItem & /*item*/) const override
    {
        catalogue::Catalogue result;
        result.version = 1;
        result.services["service"].name = "service";
        catalogue::Route route;
        route.host = "h";
        route.prefix = "/a/";
        route.kind = catalogue::RouteKind::AtMostOnce;
        route.destinations = {{"service", 1}};
        result.routesByHost["h"].push_back(route);
        return result;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const published::StoreItem & /*item*/) const override
    {
        catalogue::UpstreamEntry result;
        result.id = UpstreamId("u");
        result.service = "service";
        result.address = m_address;
        result.slots = 4;
        return result;
    }
    DataCentreId evacuatedDataCentre(const std::string &key) const override
    {
        return DataCentreId(key);
    }
    std::string evacuationKey(const DataCentreId &dataCentre) const override
    {
        return dataCentre.value();
    }

private:
    std::string m_address;
};

/** Connection of a caller that records the received bytes. */
struct Client : eventloop::ITcpStreamListener
{
    Client(eventloop::EventLoop &loop, const std::string &address)
        : stream(eventloop::TcpStream::connect(loop, address, *this, {}))
    {
    }

    void get(const std::string &path)
    {
        stream->write("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n");
    }
    void onInput() override
    {
        received.append(stream->input());
        stream->input().clear();
    }
    void onEnd(eventloop::StreamEnd /*end*/) override
    {
        isEnded = true;
    }

    std::shared_ptr<eventloop::TcpStream> stream;
    std::string received;
    bool isEnded = false;
};

GatewayDependencies makeDependencies(FakeStore &store, const FakeDecoder &decoder)
{
    return {store, decoder,
        [](const std::vector<std::string> &addresses, Milliseconds) {
            return addresses.front();
        },
        nullptr};
}

std::string freeAddress()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    return socket.address().toString();
}

} // namespace

TEST_CASE("status and metrics are available at the operator address only")
{
    GatewayFixture fixture;
    const ScriptedUpstream &upstream
        = fixture.addUpstream("service", [](ScriptedUpstream::Connection &, const std::string &, int) {});
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    settings.directoryAddress = freeAddress();
    settings.metricsAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    settings.paths.locate = "/locate";
    FakeStore store(fixture.loop);
    const FakeDecoder decoder(upstream.address());
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    const auto responseFrom = [&](const std::string &address, const std::string &path) {
        Client client(fixture.loop, address);
        client.get(path);
        fixture.runUntil([&] {
            return !client.received.empty();
        });
        return client.received;
    };
    // The store is read in the first iterations of the event loop.
    CHECK(responseFrom(settings.directoryAddress, "/v1/locate").ends_with(settings.callerAddress));
    const std::string status = responseFrom(settings.metricsAddress, "/status");
    CHECK(status.starts_with("HTTP/1.1 200"));
    for (const char *const part : {"\"instance\":\"self\"", "\"state\":\"ready\"", "\"configuration_version\":1",
             "\"peers\":[]", "\"id\":\"u\"", "\"state\":\"live\""}) {
        INFO(status);
        CHECK(status.find(part) != std::string::npos);
    }
    CHECK(
        responseFrom(settings.metricsAddress, "/metrics").find("magnolia_gateway_open_requests") != std::string::npos);
    CHECK(responseFrom(settings.directoryAddress, "/status").starts_with("HTTP/1.1 404"));
    CHECK(responseFrom(settings.directoryAddress, "/metrics").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a graceful stop reports not ready, finishes open requests and closes their connections")
{
    GatewayFixture fixture;
    std::shared_ptr<ScriptedUpstream::Connection> waiting;
    std::string waitingRequest;
    ScriptedUpstream &upstream = fixture.addUpstream(
        "service", [&](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
            waiting = connection.shared_from_this();
            waitingRequest = request;
        });
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    settings.readinessAddress = freeAddress();
    settings.directoryAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    settings.paths.ready = "/ready";
    settings.paths.locate = "/locate";
    settings.locateTtl = Milliseconds(50);
    settings.stopGracePeriod = Milliseconds(4000);
    FakeStore store(fixture.loop);
    const FakeDecoder decoder(upstream.address());
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());

    Client ready(fixture.loop, settings.readinessAddress);
    ready.get("/ready");
    Client directory(fixture.loop, settings.directoryAddress);
    directory.get("/locate");
    Client caller(fixture.loop, settings.callerAddress);
    caller.get("/a/x");
    fixture.runUntil([&] {
        return waiting && !ready.received.empty() && !directory.received.empty();
    });
    REQUIRE(waiting);
    CHECK(ready.received.starts_with("HTTP/1.1 200"));
    CHECK(directory.received.ends_with(settings.callerAddress));

    gateway.beginStop();
    Client notReady(fixture.loop, settings.readinessAddress);
    notReady.get("/ready");
    Client unlisted(fixture.loop, settings.directoryAddress);
    unlisted.get("/locate");
    fixture.runUntil([&] {
        return !notReady.received.empty() && !unlisted.received.empty();
    });
    CHECK(notReady.received.starts_with("HTTP/1.1 503"));
    CHECK(unlisted.received.starts_with("HTTP/1.1 503"));
    CHECK(caller.received.empty());

    waiting->send(plainResponse(waitingRequest, 200, "late but whole"));
    fixture.runUntil([&] {
        return caller.isEnded;
    });
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    CHECK(caller.received.ends_with("late but whole"));
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("callers that connect while the configuration is being read are served instead of refused")
{
    // After a restart callers with cached addresses connect before the store has answered.
    GatewayFixture fixture;
    const ScriptedUpstream &upstream = fixture.addUpstream(
        "service", [&](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
            connection.send(plainResponse(request, 200, "whole"));
        });
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    settings.readinessAddress = freeAddress();
    settings.directoryAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    settings.paths.ready = "/ready";
    settings.paths.locate = "/locate";
    FakeStore store(fixture.loop, Milliseconds(60));
    const FakeDecoder decoder(upstream.address());
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    Client ready(fixture.loop, settings.readinessAddress);
    ready.get("/ready");
    Client caller(fixture.loop, settings.callerAddress);
    caller.get("/a/x");
    Client directory(fixture.loop, settings.directoryAddress);
    directory.get("/locate");
    fixture.runUntil([&] {
        return !caller.received.empty() && !directory.received.empty();
    });
    CHECK(ready.received.starts_with("HTTP/1.1 503"));
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.received.ends_with("whole"));
    CHECK(directory.received.ends_with(settings.callerAddress));
}

TEST_CASE("an instance that receives no configuration refuses callers after a bounded time")
{
    GatewayFixture fixture;
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    FakeStore store(fixture.loop, Milliseconds(60'000));
    const FakeDecoder decoder("127.0.0.1:1");
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    Client caller(fixture.loop, settings.callerAddress);
    caller.get("/a/x");
    fixture.runUntil([&] {
        return !caller.received.empty();
    });
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
    const double retryAfterSeconds = std::stod(headerField(caller.received, "Retry-After"));
    CHECK(retryAfterSeconds >= 0.3);
    CHECK(retryAfterSeconds <= 0.45);
}

TEST_CASE("a request that arrives before the configuration is held and served when the configuration arrives")
{
    // After a loss of power on all instances 760 requests were refused while the store was silent, most of them on the
    // only retry that their caller had.
    GatewayFixture fixture;
    const ScriptedUpstream &upstream = fixture.addUpstream(
        "service", [&](ScriptedUpstream::Connection &connection, const std::string &request, int /*number*/) {
            connection.send(plainResponse(request, 200, "whole"));
        });
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    FakeStore store(fixture.loop, Milliseconds(800));
    const FakeDecoder decoder(upstream.address());
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    Client caller(fixture.loop, settings.callerAddress);
    caller.stream->write("GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline: 60000\r\n\r\n");
    // A caller that gives up while its request is held must not reach an upstream.
    auto leaving = std::make_unique<Client>(fixture.loop, settings.callerAddress);
    leaving->stream->write("GET /a/y HTTP/1.1\r\nHost: h\r\nRequest-Id: gone\r\nDeadline: 60000\r\n\r\n");
    fixture.loop.after(Milliseconds(500), [&] {
        leaving->stream->close();
    });
    fixture.runUntil([&] {
        return !caller.received.empty();
    });
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.received.ends_with("whole"));
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("a request without a configuration is refused with a Retry-After that its caller honours")
{
    GatewayFixture fixture;
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    FakeStore store(fixture.loop, Milliseconds(60'000));
    const FakeDecoder decoder("127.0.0.1:1");
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    Client caller(fixture.loop, settings.callerAddress);
    caller.stream->write("GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline: 1000\r\n\r\n");
    fixture.runUntil([&] {
        return !caller.received.empty();
    });
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
    // 300 ms unread and a third of the rest held leave the time for another attempt.
    const double retryAfterSeconds = std::stod(headerField(caller.received, "Retry-After"));
    CHECK(retryAfterSeconds > 0);
    CHECK(retryAfterSeconds <= 0.575 / 3);
}

TEST_CASE("an instance that stops while it holds requests refuses them at once")
{
    GatewayFixture fixture;
    GatewaySettings settings = fixture.settings;
    settings.callerAddress = freeAddress();
    const Poco::Net::SocketAddress peer(freeAddress());
    settings.peerAddress = {"127.0.0.1", peer.port()};
    FakeStore store(fixture.loop, Milliseconds(60'000));
    const FakeDecoder decoder("127.0.0.1:1");
    Gateway gateway(fixture.loop, settings, makeDependencies(store, decoder), 3);
    REQUIRE(gateway.start());
    Client caller(fixture.loop, settings.callerAddress);
    caller.stream->write("GET /a/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline: 600000\r\n\r\n");
    fixture.loop.after(Milliseconds(500), [&] {
        gateway.beginStop();
    });
    fixture.runUntil([&] {
        return !caller.received.empty();
    });
    CHECK(caller.received.starts_with("HTTP/1.1 503"));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
}
