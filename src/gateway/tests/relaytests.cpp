// Checks what an instance that is cut from all upstreams makes of the answers of the peers to which it relays.
#include "gatewayfixture.h"

#include "fleet/fleetlink.h"
#include "gateway/internal/pathmonitor.h"
#include "gateway/internal/relayhandler.h"
#include "gateway/internal/relayprotocol.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

using namespace magnolia;
using namespace magnolia::gateway;
using namespace magnolia::gateway::tests;
using catalogue::RouteKind;

namespace
{

using Connection = ScriptedUpstream::Connection;

/** An instance that is cut from its two upstreams, and peers that answer relayed requests by script. */
class CutInstance : public GatewayFixture
{
public:
    CutInstance()
    {
        for (int i = 0; i < 2; ++i) {
            addUpstream("service", [](Connection & /*connection*/, const std::string & /*request*/, int /*number*/) {});
            upstreams.back()->stopListening();
        }
        fleet::FleetLinkSettings link;
        link.instance = "self";
        link.dataCentre = "here";
        const Poco::Net::SocketAddress address = unusedAddress();
        link.address = {address.host().toString(), address.port()};
        link.incarnation = 1;
        context.fleet = std::make_shared<fleet::FleetLink>(loop, link, *this);
        if (!context.fleet->start()) {
            throw std::runtime_error("no free port for datagrams");
        }
        m_address = link.address;
    }
    ~CutInstance() override
    {
        context.fleet->stop();
    }

    ScriptedUpstream &addPeer(const ScriptedUpstream::Script &script)
    {
        peers.push_back(std::make_shared<ScriptedUpstream>(loop, script));
        peers.back()->listen();
        fleet::PeerMessage message;
        message.instance = "peer-" + std::to_string(peers.size());
        message.dataCentre = "here";
        message.incarnation = 1;
        message.sequence = 1;
        message.address = {"127.0.0.1", 1};
        message.callerAddress = "127.0.0.1:1";
        message.relayAddress = peers.back()->address();
        message.isReady = true;
        message.configurationVersion = 1;
        const std::string bytes = peerlink::encode(message);
        m_socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(m_address.ip, m_address.port));
        runUntil([&] {
            return context.fleet->table().peers().size() == peers.size();
        });
        return *peers.back();
    }

    /** Lets a request find out that no upstream can be reached. */
    void noticeCut()
    {
        const std::size_t before = relayedCount();
        runRequest(makeRoute(RouteKind::Idempotent), "notice");
        REQUIRE(context.path->detector().isPartitioned());
        m_noticedCount = relayedCount() - before;
    }
    [[nodiscard]] std::size_t relayedCount() const
    {
        std::size_t count = 0;
        for (const auto &it : peers) {
            count += it->requests.size();
        }
        return count - m_noticedCount;
    }

    std::vector<std::shared_ptr<ScriptedUpstream>> peers;

private:
    Poco::Net::DatagramSocket m_socket;
    fleet::PeerAddress m_address;
    std::size_t m_noticedCount = 0;
};

bool isNotice(const std::string &request)
{
    return headerField(request, "Request-Id") == "notice";
}

void respondOk(Connection &connection, const std::string &request, int /*number*/)
{
    connection.send(plainResponse(request, 200, "ok"));
}

/** Answers as a peer that has not run the request. */
ScriptedUpstream::Script refuseWith(const std::string &reason)
{
    return [reason](Connection &connection, const std::string &request, int number) {
        if (isNotice(request)) {
            respondOk(connection, request, number);
            return;
        }
        connection.send(
            plainResponse(request, 503, {}, "Retry-After: 0.7\r\nMagnolia-Relay-Not-Run: " + reason + "\r\n"));
    };
}

} // namespace

TEST_CASE("a relayed request has the caller's key, deadline and the time that has passed, and no forged relay fields")
{
    CutInstance instance;
    ScriptedUpstream &peer = instance.addPeer(respondOk);
    instance.noticeCut();
    httpwire::RequestHead head = instance.makeRequest("id-1");
    head.fields.add("magnolia-relay-max-upstreams", "7");
    const auto exchange = instance.beginRequest(instance.makeRoute(RouteKind::Idempotent), head, "body");
    instance.runUntil([&] {
        return instance.response.isFinished();
    });
    const std::string &sent = peer.requests.back();
    CHECK(sent.starts_with("POST /path/x?y=1 HTTP/1.1\r\n"));
    CHECK(sent.ends_with("\r\n\r\nbody"));
    CHECK(headerField(sent, "Authorization") == "Token secret");
    CHECK(headerField(sent, "Deadline") == "4000");
    CHECK(headerField(sent, "X-Hop").empty());
    CHECK(headerField(sent, "Magnolia-Relay-From") == "self");
    CHECK_FALSE(headerField(sent, "Magnolia-Relay-Elapsed-Ms").empty());
    CHECK(headerField(sent, "Magnolia-Relay-Max-Upstreams") == "1");
    CHECK(sent.find("magnolia-relay-max-upstreams") == std::string::npos);
    CHECK(instance.response.head.status == 200);
    CHECK(instance.response.head.fields.value("Response-Signature") == "s");
}

TEST_CASE("a request that may have run at a peer whose connection ends is answered 502 or goes on elsewhere")
{
    const RouteKind kind = GENERATE(RouteKind::AtMostOnce, RouteKind::Idempotent);
    CutInstance instance;
    int broken = 0;
    const auto breakFirst = [&](Connection &connection, const std::string &request, int number) {
        if (!isNotice(request) && broken++ == 0) {
            connection.reset();
            return;
        }
        respondOk(connection, request, number);
    };
    instance.addPeer(breakFirst);
    instance.addPeer(breakFirst);
    instance.noticeCut();
    instance.runRequest(instance.makeRoute(kind));
    const bool mayRepeat = kind == RouteKind::Idempotent;
    CHECK(instance.response.head.status == (mayRepeat ? 200 : 502));
    CHECK_FALSE(instance.response.head.fields.has("Retry-After"));
    CHECK(instance.relayedCount() == (mayRepeat ? 2 : 1));
}

TEST_CASE("another peer is asked if one refuses for a reason of its own")
{
    const std::string reason = GENERATE("partitioned", "stopping", "no_configuration", "no_route", "no_upstream");
    CutInstance instance;
    int refused = 0;
    const auto refuseFirst = [&](Connection &connection, const std::string &request, int number) {
        if (!isNotice(request) && refused++ == 0) {
            refuseWith(reason)(connection, request, number);
            return;
        }
        respondOk(connection, request, number);
    };
    instance.addPeer(refuseFirst);
    instance.addPeer(refuseFirst);
    instance.noticeCut();
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce));
    CHECK(instance.response.head.status == 200);
    CHECK(instance.relayedCount() == 2);
}

TEST_CASE("a refusal that holds for the whole fleet reaches the caller at once with the peer's Retry-After")
{
    const std::string reason = GENERATE("crowded", "too_late", "too_large", "paused", "quarantined");
    CutInstance instance;
    instance.addPeer(refuseWith(reason));
    instance.addPeer(refuseWith(reason));
    instance.noticeCut();
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce));
    CHECK(instance.response.head.status == 503);
    const double seconds = std::stod(std::string(instance.response.head.fields.value("Retry-After")));
    CHECK(seconds >= 0.7);
    CHECK(seconds <= 1.1);
    CHECK(instance.relayedCount() == 1);
}

TEST_CASE("a peer that cannot tell whether a request has run is not taken for one that has not run it")
{
    const int status = GENERATE(502, 504, 503, 429);
    CutInstance instance;
    const auto fail = [status](Connection &connection, const std::string &request, int number) {
        if (isNotice(request)) {
            respondOk(connection, request, number);
            return;
        }
        connection.send(plainResponse(request, status, {}, ""));
    };
    instance.addPeer(fail);
    instance.addPeer(fail);
    instance.noticeCut();
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce));
    CHECK(instance.response.head.status == 502);
    CHECK(instance.relayedCount() == 1);
}

TEST_CASE("an instance that is partitioned refuses relayed requests instead of relaying them again")
{
    CutInstance instance;
    instance.addPeer(respondOk);
    instance.noticeCut();
    const std::size_t before = instance.relayedCount();
    httpwire::RequestHead head = instance.makeRequest("id-1");
    head.fields.add("Magnolia-Relay-From", "other");
    head.fields.add("Magnolia-Relay-Elapsed-Ms", "40");
    head.fields.add("Magnolia-Relay-Max-Upstreams", "1");
    auto origin = takeRelayOrigin(head);
    REQUIRE(origin);
    CHECK(origin->instance == "other");
    CHECK(origin->elapsed == Milliseconds(40));
    CHECK(origin->maxUpstreams == 1);
    CHECK_FALSE(head.fields.has("Magnolia-Relay-From"));
    const catalogue::Route route = instance.makeRoute(RouteKind::AtMostOnce);
    RecordedResponse response;
    const auto exchange = std::make_shared<Exchange>(
        instance.context, route, std::nullopt, head, "body", instance.loop.now(), origin, response);
    exchange->start();
    CHECK(response.head.status == 503);
    CHECK(response.head.fields.value("Magnolia-Relay-Not-Run") == "partitioned");
    CHECK(instance.relayedCount() == before);
}

TEST_CASE("a request is not relayed by a stopping instance once it may outlast the process")
{
    // Guards against requests that are placed early in a stop, reach a peer late in it and are cut at its end.
    const bool isDeadlineBeforeEnd = GENERATE(false, true);
    CutInstance instance;
    instance.addPeer(respondOk);
    instance.noticeCut();
    httpwire::RequestHead head = instance.makeRequest("id-1");
    head.fields.remove("Deadline");
    head.fields.add("Deadline", isDeadlineBeforeEnd ? "3000" : "15000");
    catalogue::Route route = instance.makeRoute(RouteKind::Idempotent);
    route.timeout = Milliseconds(20'000);
    instance.context.stopDeadline = instance.loop.now() + Milliseconds(8000);
    instance.context.strictAdmissionFrom = instance.loop.now() + Milliseconds(50);
    const auto exchange = instance.beginRequest(route, std::move(head), "body");
    // Admission becomes strict while the connection to the peer is being established.
    instance.context.strictAdmissionFrom = instance.loop.now();
    instance.runUntil([&] {
        return instance.response.isFinished();
    });
    CHECK(instance.relayedCount() == (isDeadlineBeforeEnd ? 1 : 0));
    CHECK(instance.response.head.status == (isDeadlineBeforeEnd ? 200 : 503));
    CHECK(instance.response.head.fields.has("Retry-After") == !isDeadlineBeforeEnd);
}

TEST_CASE("a partitioned instance without a peer refuses requests instead of sending them where they cannot arrive")
{
    CutInstance instance;
    for (const auto &it : instance.upstreams) {
        it->resumeListening();
        it->setClosing(true);
    }
    instance.runRequest(instance.makeRoute(RouteKind::Idempotent), "first");
    REQUIRE(instance.context.path->detector().isPartitioned());
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce), "id-1");
    CHECK(instance.response.head.status == 503);
    CHECK(instance.response.head.fields.has("Retry-After"));
}

TEST_CASE("during an evacuation no request is relayed to a peer of a build that does not obey it")
{
    CutInstance instance;
    instance.addPeer(respondOk);
    instance.noticeCut();
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce), "before");
    CHECK(instance.response.head.status == 200);
    CHECK(instance.relayedCount() == 1);
    instance.context.evacuatedSince[DataCentreId("there")] = instance.loop.now();
    instance.runRequest(instance.makeRoute(RouteKind::AtMostOnce), "during");
    CHECK(instance.response.head.status == 503);
    CHECK(instance.response.head.fields.has("Retry-After"));
    CHECK(instance.relayedCount() == 1);
}
