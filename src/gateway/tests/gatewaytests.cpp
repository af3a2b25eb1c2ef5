// A whole gateway on loopback: readiness, directory, and a stop that cuts nothing.
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

/** Answers one full read, and never tells of a change. */
class FakeStore : public published::IStoreClient
{
public:
    explicit FakeStore(eventloop::EventLoop &loop)
        : m_loop(loop)
    {
    }

    void readPage(const std::string & /*afterKey*/, std::function<void(Result<published::StorePage>)> done) override
    {
        m_loop.defer([done = std::move(done)] {
            published::StorePage page;
            page.items = {{"c", "1", 1, false}, {"u", "1", 2, false}};
            page.revision = 2;
            done(std::move(page));
        });
    }
    void watch(std::uint64_t /*revision*/, Milliseconds /*wait*/,
        std::function<void(Result<published::StoreChanges>)> /*done*/) override
    {
    }

private:
    eventloop::EventLoop &m_loop;
};

/** One route "/a/" to one service, with one upstream. */
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
        catalogue::Catalogue made;
        made.version = 1;
        made.services["service"].name = "service";
        catalogue::Route route;
        route.host = "h";
        route.prefix = "/a/";
        route.kind = catalogue::RouteKind::AtMostOnce;
        route.destinations = {{"service", 1}};
        made.routesByHost["h"].push_back(route);
        return made;
    }
    std::optional<catalogue::UpstreamEntry> decodeUpstream(const published::StoreItem & /*item*/) const override
    {
        catalogue::UpstreamEntry made;
        made.id = UpstreamId("u");
        made.service = "service";
        made.address = m_address;
        made.slots = 4;
        return made;
    }

private:
    std::string m_address;
};

/** A caller's connection that keeps what comes. */
struct Client : eventloop::ITcpStreamUser
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

GatewayPorts makePorts(FakeStore &store, const FakeDecoder &decoder)
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

TEST_CASE("operators see what the instance knows, and nobody else does")
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
    Gateway gateway(fixture.loop, settings, makePorts(store, decoder), 3);
    REQUIRE(gateway.start());
    const auto answerTo = [&](const std::string &address, const std::string &path) {
        Client client(fixture.loop, address);
        client.get(path);
        fixture.runUntil([&] {
            return !client.received.empty();
        });
        return client.received;
    };
    // The store is read with the first events of the loop.
    CHECK(answerTo(settings.directoryAddress, "/v1/locate").ends_with(settings.callerAddress));
    const std::string status = answerTo(settings.metricsAddress, "/status");
    CHECK(status.starts_with("HTTP/1.1 200"));
    for (const char *const part : {"\"instance\":\"self\"", "\"state\":\"ready\"", "\"configuration_version\":1",
             "\"peers\":[]", "\"id\":\"u\"", "\"state\":\"live\""}) {
        INFO(status);
        CHECK(status.find(part) != std::string::npos);
    }
    CHECK(answerTo(settings.metricsAddress, "/metrics").find("magnolia_gateway_open_requests") != std::string::npos);
    CHECK(answerTo(settings.directoryAddress, "/status").starts_with("HTTP/1.1 404"));
    CHECK(answerTo(settings.directoryAddress, "/metrics").starts_with("HTTP/1.1 404"));
}

TEST_CASE("a planned stop answers what is under way, tells callers to go, and ends when nothing is open")
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
    Gateway gateway(fixture.loop, settings, makePorts(store, decoder), 3);
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

    waiting->send(plainAnswer(waitingRequest, 200, "late but whole"));
    fixture.runUntil([&] {
        return caller.isEnded;
    });
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    CHECK(caller.received.ends_with("late but whole"));
    CHECK(upstream.requests.size() == 1);
}
