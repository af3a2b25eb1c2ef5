// The peer transport over loopback sockets.
#include "framework/global/systemclock.h"
#include "peerlink/envelopecodec.h"
#include "peerlink/peertransport.h"

#include <catch2/catch.hpp>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <atomic>
#include <thread>

using namespace magnolia;
using namespace magnolia::peerlink;

namespace
{

const PeerKeys oneKey{{{1, "first secret"}}, 1};

struct Node
{
    explicit Node(const char *name, PeerKeys keys = oneKey, PeerLinkParameters parameters = {})
        : transport(
            makePeerTransport({InstanceId(name), Incarnation(100), "127.0.0.1:0"}, std::move(keys), parameters, clock))
        , name(name)
    {
        REQUIRE(transport->start());
    }
    [[nodiscard]] PeerAddress address() const
    {
        return {InstanceId(name), transport->boundAddress()};
    }

    SystemClock clock;
    std::unique_ptr<IPeerTransport> transport;
    std::string name;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 500; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

void echo(Node &node)
{
    node.transport->setRequestHandler(MessageType::KeyHandover, [](const ReceivedMessage &message) {
        return Result<std::string>(message.sender.value() + ":" + message.payload);
    });
}

} // namespace

TEST_CASE("a datagram reaches the handler of its type")
{
    Node a("a");
    Node b("b");
    std::atomic<int> received = 0;
    b.transport->setDatagramHandler(MessageType::LoadRows, [&](const ReceivedMessage &message) {
        if (message.sender == InstanceId("a") && message.payload == "rows") {
            ++received;
        }
    });
    REQUIRE(a.transport->send(b.address(), MessageType::LoadRows, "rows"));
    CHECK(eventually([&] {
        return received == 1;
    }));
}

TEST_CASE("a request of half a megabyte is answered")
{
    Node a("a");
    Node b("b");
    echo(b);
    const std::string large(512 * 1024, 'x');
    const auto answer = a.transport->request(b.address(), MessageType::KeyHandover, large, Milliseconds(2000));
    REQUIRE(answer);
    CHECK(*answer == "a:" + large);
}

TEST_CASE("an error of the handler is returned with its code")
{
    Node a("a");
    Node b("b");
    b.transport->setRequestHandler(MessageType::KeyHandover, [](const ReceivedMessage &) {
        return Result<std::string>(makeError(ResultCode::KeyTableFull, "no room"));
    });
    const auto answer = a.transport->request(b.address(), MessageType::KeyHandover, "", Milliseconds(2000));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::KeyTableFull);
    CHECK(answer.error().detail == "no room");
    const auto unhandled = a.transport->request(b.address(), MessageType::LoadRows, "", Milliseconds(2000));
    REQUIRE_FALSE(unhandled);
    CHECK(unhandled.error().code == ResultCode::PeerMessageMalformed);
}

TEST_CASE("no request fails during a key rollover")
{
    Node a("a");
    Node b("b");
    echo(b);
    const PeerKeys bothSendOld{{{1, "first secret"}, {2, "second secret"}}, 1};
    const PeerKeys bothSendNew{{{1, "first secret"}, {2, "second secret"}}, 2};
    const PeerKeys newOnly{{{2, "second secret"}}, 2};
    for (const PeerKeys &keys : {bothSendOld, bothSendNew, newOnly}) {
        for (Node *node : {&a, &b}) {
            node->transport->setKeys(keys);
            CHECK(a.transport->request(b.address(), MessageType::KeyHandover, "x", Milliseconds(2000)));
        }
    }
    b.transport->setKeys(oneKey);
    const auto answer = a.transport->request(b.address(), MessageType::KeyHandover, "x", Milliseconds(500));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PeerUnreachable);
    CHECK(b.transport->counters().unknownKey == 1);
}

TEST_CASE("a request to an address without a listener is unreachable with outcome not run")
{
    Node a("a");
    const auto answer
        = a.transport->request({InstanceId("gone"), "127.0.0.1:1"}, MessageType::KeyHandover, "x", Milliseconds(500));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PeerUnreachable);
    CHECK(answer.error().outcome == Outcome::NotRun);
}

TEST_CASE("a request to a slow handler fails after its timeout with outcome unknown")
{
    Node a("a");
    Node b("b");
    b.transport->setRequestHandler(MessageType::KeyHandover, [](const ReceivedMessage &) {
        std::this_thread::sleep_for(Milliseconds(400));
        return Result<std::string>("late");
    });
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = a.transport->request(b.address(), MessageType::KeyHandover, "x", Milliseconds(100));
    CHECK(std::chrono::steady_clock::now() - begin >= Milliseconds(100));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == ResultCode::PeerUnreachable);
    CHECK(answer.error().outcome == Outcome::Unknown);
}

TEST_CASE("a message for another instance at the same address is refused")
{
    Node a("a");
    Node b("b");
    echo(b);
    const PeerAddress wrong{InstanceId("c"), b.transport->boundAddress()};
    CHECK_FALSE(a.transport->request(wrong, MessageType::KeyHandover, "x", Milliseconds(500)));
    CHECK(b.transport->counters().forged == 1);
}

TEST_CASE("random, forged and replayed datagrams reach no handler")
{
    Node b("b");
    std::atomic<int> received = 0;
    b.transport->setDatagramHandler(MessageType::Membership, [&](const ReceivedMessage &) {
        ++received;
    });
    Envelope envelope;
    envelope.sender = InstanceId("a");
    envelope.recipient = InstanceId("b");
    envelope.sequence = 1;
    envelope.sentAtMs = b.clock.wallNow().time_since_epoch().count() + 1;
    const std::string valid = *encodeEnvelope(envelope, oneKey);
    std::string forged = valid;
    forged.back() ^= 1;
    Poco::Net::DatagramSocket socket;
    const Poco::Net::SocketAddress target(b.transport->boundAddress());
    for (const std::string &bytes : {std::string("noise"), forged, valid, valid, valid.substr(0, 60)}) {
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), target);
    }
    REQUIRE(eventually([&] {
        return b.transport->counters().datagramsReceived == 5;
    }));
    REQUIRE(eventually([&] {
        const PeerLinkCounters counters = b.transport->counters();
        return counters.malformed + counters.forged + counters.replayed == 4;
    }));
    CHECK(received == 1);
    CHECK(b.transport->counters().malformed == 1);
    CHECK(b.transport->counters().forged == 2);
    CHECK(b.transport->counters().replayed == 1);
}

TEST_CASE("a connection with a huge frame length or a slow sender is closed while others are served")
{
    PeerLinkParameters parameters;
    parameters.serverTimeout = Milliseconds(200);
    Node b("b", oneKey, parameters);
    Node a("a");
    echo(b);
    const Poco::Net::SocketAddress target(b.transport->boundAddress());
    Poco::Net::StreamSocket huge(target);
    Poco::Net::StreamSocket slow(target);
    const std::string hugeHeader = "\xff\xff\xff\xff";
    huge.sendBytes(hugeHeader.data(), static_cast<int>(hugeHeader.size()));
    slow.sendBytes("\0", 1);
    CHECK(a.transport->request(b.address(), MessageType::KeyHandover, "x", Milliseconds(2000)));
    for (Poco::Net::StreamSocket *socket : {&huge, &slow}) {
        socket->setReceiveTimeout(Poco::Timespan(5, 0));
        char byte = 0;
        CHECK(socket->receiveBytes(&byte, 1) == 0);
    }
}

TEST_CASE("the port is free again after stop, and stop may be called twice")
{
    Node a("a");
    const std::string address = a.transport->boundAddress();
    a.transport->stop();
    a.transport->stop();
    SystemClock clock;
    const auto again = makePeerTransport({InstanceId("a"), Incarnation(101), address}, oneKey, {}, clock);
    CHECK(again->start());
    const auto second = makePeerTransport({InstanceId("x"), Incarnation(1), address}, oneKey, {}, clock);
    const auto result = second->start();
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::ListenFailed);
}
