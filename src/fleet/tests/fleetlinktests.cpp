// Tests of the exchange between instances over real sockets.
#include "startlink.h"

#include "fleet/fleetlink.h"
#include "framework/eventloop/ireadinesshandler.h"
#include "framework/eventloop/tcpstream.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <vector>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

/** Has a snapshot larger than the buffers of a socket. */
struct FakeDelegate : IFleetDelegate
{
    OwnState ownState() const override
    {
        return {true, false, false, 1, {0, 1}, true, true, {}, {}};
    }
    std::vector<PlacementRecord> ownPlacements() const override
    {
        return {};
    }
    std::vector<QuarantineRecord> ownQuarantine() const override
    {
        return {};
    }
    Snapshot snapshot() const override
    {
        constexpr std::size_t large = 16 << 20;
        return {{0, 1}, true, {{"k", std::string(large, 'x'), 1, false}}};
    }
    void onPeerMessage(const PeerMessage & /*message*/) override
    {
    }
    void onSnapshot(const Snapshot & /*snapshot*/) override
    {
    }
    void onStoreConfirmed(const published::StorePosition & /*position*/, MonoTime /*at*/) override
    {
    }
    void onPeerLost(const std::string & /*instance*/) override
    {
    }
};

/** Connects and does not read. */
struct SlowPeer : eventloop::ITcpStreamListener
{
    SlowPeer(eventloop::EventLoop &loop, const std::string &address)
        : stream(eventloop::TcpStream::connect(loop, address, *this, {}))
    {
    }

    void onInput() override
    {
        hasInput = true;
        stream->setReading(false);
    }
    void onEnd(eventloop::StreamEnd /*end*/) override
    {
        isEnded = true;
    }

    std::shared_ptr<eventloop::TcpStream> stream;
    bool hasInput = false;
    bool isEnded = false;
};

std::uint16_t freePort()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    return socket.address().port();
}

} // namespace

TEST_CASE("the number of concurrent snapshot transfers is limited")
{
    // When 300 instances had been killed and came back, the first ones held a copy of the snapshot for each of the
    // others, 121 MB in all.
    eventloop::EventLoop loop;
    FakeDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.address = {"127.0.0.1", freePort()};
    settings.callerAddress = "127.0.0.1:1";
    const auto link = std::make_shared<FleetLink>(loop, settings, delegate);
    REQUIRE(link->start());
    std::vector<std::unique_ptr<SlowPeer>> peers;
    constexpr int connections = 12;
    constexpr int expectedServed = 3;
    for (int i = 0; i < connections; ++i) {
        peers.push_back(std::make_unique<SlowPeer>(loop, "127.0.0.1:" + std::to_string(settings.address.port)));
    }
    const eventloop::TimerId timeoutTimer = loop.after(Milliseconds(5000), [&loop] {
        loop.stop();
    });
    std::function<void()> check = [&] {
        int settledCount = 0;
        for (const auto &it : peers) {
            settledCount += it->hasInput || it->isEnded ? 1 : 0;
        }
        if (settledCount == connections) {
            loop.stop();
            return;
        }
        loop.after(Milliseconds(1), check);
    };
    check();
    loop.run();
    loop.cancel(timeoutTimer);
    int servedCount = 0;
    for (const auto &it : peers) {
        servedCount += it->hasInput ? 1 : 0;
    }
    CHECK(servedCount == expectedServed);
    link->stop();
}

TEST_CASE("a new published state is announced to a few peers, however many there are")
{
    // With a message from each instance to each other one, a change at 295 instances cost 87,000 messages.
    eventloop::EventLoop loop;
    FakeDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.address = {"127.0.0.1", freePort()};
    settings.callerAddress = "127.0.0.1:1";
    const auto link = std::make_shared<FleetLink>(loop, settings, delegate);
    REQUIRE(link->start());
    const auto runFor = [&loop](Milliseconds time) {
        loop.after(time, [&loop] {
            loop.stop();
        });
        loop.run();
    };
    constexpr std::size_t peerCount = 40;
    std::vector<Poco::Net::DatagramSocket> sockets;
    for (std::size_t i = 0; i < peerCount; ++i) {
        sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
        sockets.back().setBlocking(false);
        PeerMessage message;
        message.instance = "peer-" + std::to_string(i);
        message.incarnation = 1;
        message.sequence = 1;
        message.address = {"127.0.0.1", sockets.back().address().port()};
        message.callerAddress = "127.0.0.1:2";
        message.configurationVersion = 1;
        message.storePosition.revision = 1;
        const std::string bytes = peerlink::encode(message);
        sockets.back().sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
    }
    runFor(Milliseconds(50));
    REQUIRE(link->table().peers().size() == peerCount);
    /** Counts the announcements received, and drops all datagrams that wait. */
    const auto announcementCount = [&sockets] {
        std::size_t count = 0;
        for (Poco::Net::DatagramSocket &it : sockets) {
            std::array<char, 65536> buf{};
            try {
                for (int n = it.receiveBytes(buf.data(), buf.size()); n > 0;
                     n = it.receiveBytes(buf.data(), buf.size())) {
                    const auto probe
                        = peerlink::decode<ProbeMessage>(std::string_view(buf.data(), static_cast<std::size_t>(n)));
                    count += probe && probe->isAck && probe->storePosition.revision == 1 ? 1 : 0;
                }
            } catch (const Poco::Exception &) {
                continue;
            }
        }
        return count;
    };
    CHECK(announcementCount() == 0);
    link->announcePublishedState();
    runFor(Milliseconds(20));
    CHECK(announcementCount() == 8);
    link->stop();
}

TEST_CASE("a peer that sends a snapshot without end is given up, and nothing of it is used")
{
    /** Sends bytes until the connection ends. */
    struct EndlessPeer : eventloop::ITcpStreamListener, eventloop::IReadinessHandler
    {
        explicit EndlessPeer(eventloop::EventLoop &theLoop)
            : loop(theLoop)
        {
        }
        void onReady(bool /*isReadable*/, bool /*isWritable*/, bool /*isBroken*/) override
        {
            stream = eventloop::TcpStream::adopt(loop, socket.acceptConnection(), *this, {});
            send();
        }
        void send()
        {
            if (!stream->isOpen()) {
                return;
            }
            constexpr std::size_t size = 1 << 20;
            if (stream->pendingOutput() < size) {
                stream->write(std::string(size, 'x'));
            }
            loop.after(Milliseconds(1), [this] {
                send();
            });
        }
        void onInput() override
        {
            stream->input().clear();
        }
        void onEnd(eventloop::StreamEnd /*end*/) override
        {
            isEnded = true;
            loop.stop();
        }

        eventloop::EventLoop &loop;
        Poco::Net::ServerSocket socket;
        std::shared_ptr<eventloop::TcpStream> stream;
        bool isEnded = false;
    };
    struct BehindDelegate : FakeDelegate
    {
        OwnState ownState() const override
        {
            return {};
        }
        void onSnapshot(const Snapshot & /*snapshot*/) override
        {
            hasSnapshot = true;
        }

        bool hasSnapshot = false;
    };
    eventloop::EventLoop loop;
    BehindDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.address = {"127.0.0.1", freePort()};
    settings.callerAddress = "127.0.0.1:1";
    const auto link = std::make_shared<FleetLink>(loop, settings, delegate);
    REQUIRE(link->start());
    const auto peer = std::make_shared<EndlessPeer>(loop);
    peer->socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    peer->socket.listen();
    loop.add(peer->socket.impl()->sockfd(), peer, {true, false});
    PeerMessage message;
    message.instance = "peer";
    message.incarnation = 1;
    message.sequence = 1;
    message.address = {"127.0.0.1", peer->socket.address().port()};
    message.callerAddress = "127.0.0.1:2";
    message.configurationVersion = 1;
    message.storePosition.revision = 1;
    const std::string bytes = peerlink::encode(message);
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    socket.sendTo(
        bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
    constexpr Milliseconds maxTime{4000};
    const eventloop::TimerId limit = loop.after(maxTime, [&loop] {
        loop.stop();
    });
    loop.run();
    loop.cancel(limit);
    CHECK(peer->isEnded);
    CHECK_FALSE(delegate.hasSnapshot);
    loop.remove(peer->socket.impl()->sockfd());
    link->stop();
}

TEST_CASE("a peer that is only silent or suspected is not reported as lost, and one that has restarted is")
{
    // Placements of silent peers were dropped at once, so that engines with running work looked idle.
    struct LossDelegate : FakeDelegate
    {
        void onPeerLost(const std::string &instance) override
        {
            lost.push_back(instance);
        }

        std::vector<std::string> lost;
    };
    eventloop::EventLoop loop;
    LossDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.callerAddress = "127.0.0.1:1";
    const auto link = tests::startLink(loop, settings, delegate);
    REQUIRE(link);
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    PeerMessage message;
    message.instance = "peer";
    message.incarnation = 1;
    message.sequence = 1;
    message.address = {"127.0.0.1", socket.address().port()};
    message.callerAddress = "127.0.0.1:2";
    message.configurationVersion = 1;
    message.storePosition.revision = 1;
    const auto send = [&](const auto &it) {
        const std::string bytes = peerlink::encode(it);
        socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
        tests::runRounds(loop, 1);
    };
    send(message);
    REQUIRE(link->table().peers().contains("peer"));
    // The first message of a run.
    REQUIRE(delegate.lost == std::vector<std::string>{"peer"});
    ProbeMessage probe;
    probe.instance = "other";
    probe.incarnation = 1;
    probe.address = message.address;
    probe.isAck = true;
    probe.suspicions = {{"peer", 1, 0}};
    send(probe);
    CHECK(link->table().peers().at("peer").isSuspected);
    // The log of silent peers is written with each probe, every 250 ms.
    constexpr int roundsOfProbes = 100;
    tests::runRounds(loop, roundsOfProbes);
    CHECK(link->table().isSilent(link->table().peers().at("peer"), loop.now()));
    CHECK(delegate.lost.size() == 1);
    message.incarnation = 2;
    send(message);
    CHECK(delegate.lost.size() == 2);
    link->stop();
}
