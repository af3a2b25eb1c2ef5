// Tests over real sockets that increments are sent in a form that their receivers read.
#include "fleet/compactincrement.h"
#include "fleet/extensioncodec.h"
#include "fleet/fleetlink.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <map>
#include <optional>
#include <vector>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

const PlacementRecord placement{11, 12, {}, 4960, 1285, 250, 300, 0, false, false, 0};

struct RecordingDelegate : IFleetDelegate
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
        return {};
    }
    void onPeerMessage(const PeerMessage &message) override
    {
        for (const PlacementRecord &it : message.placements) {
            placementsByPeer[message.instance].push_back(it.id);
        }
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

    std::map<std::string, std::vector<std::uint64_t>> placementsByPeer;
};

/** A peer that is only a socket. */
struct SocketPeer
{
    SocketPeer(std::string theInstance, std::uint16_t linkPort)
        : instance(std::move(theInstance))
        , link("127.0.0.1", linkPort)
        , socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    {
        socket.setBlocking(false);
    }

    void send(const std::string &bytes)
    {
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), link);
    }
    PeerMessage makeMessage()
    {
        PeerMessage message;
        message.instance = instance;
        message.incarnation = incarnation;
        message.sequence = ++sequence;
        message.isReady = true;
        message.configurationVersion = 1;
        message.storePosition.revision = 1;
        return message;
    }
    void sendFullState()
    {
        PeerMessage message = makeMessage();
        message.address = {"127.0.0.1", socket.address().port()};
        message.callerAddress = "127.0.0.1:2";
        message.isFullState = true;
        send(peerlink::encode(message));
    }
    void sendCapabilities(std::uint64_t capabilities)
    {
        ExtensionMessage extension;
        extension.instance = instance;
        extension.incarnation = incarnation;
        extension.sequence = ++sequence;
        extension.capabilities = capabilities;
        send(encodeExtension(extension));
    }
    /** Returns the format of the increment with `placement` that has arrived; drops all other datagrams. */
    std::optional<std::uint8_t> receivedFormat()
    {
        std::optional<std::uint8_t> format;
        std::array<char, 65536> buf{};
        try {
            for (int n = socket.receiveBytes(buf.data(), buf.size()); n > 0;
                 n = socket.receiveBytes(buf.data(), buf.size())) {
                const std::string_view bytes(buf.data(), static_cast<std::size_t>(n));
                const auto base = peerlink::decode<PeerMessage>(bytes);
                const auto compact = decodeCompactIncrement(bytes);
                const bool isBase = base && base->format == PeerMessage::currentFormat && base->placements.size() == 1;
                if (isBase || (compact && compact->message.placements.size() == 1)) {
                    format = static_cast<std::uint8_t>(bytes[1]);
                }
            }
        } catch (const Poco::Exception &) {
            // Nothing more has arrived.
            return format;
        }
        return format;
    }

    std::string instance;
    Poco::Net::SocketAddress link;
    Poco::Net::DatagramSocket socket;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
};

struct LinkFixture
{
    LinkFixture()
    {
        settings.instance = "a";
        settings.callerAddress = "127.0.0.1:1";
        // A link needs a port that is free for datagrams and for connections.
        constexpr int maxTries = 20;
        bool isStarted = false;
        for (int i = 0; i < maxTries && !isStarted; ++i) {
            Poco::Net::ServerSocket free;
            free.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
            settings.address = {"127.0.0.1", free.address().port()};
            free.close();
            link = std::make_shared<FleetLink>(loop, settings, delegate);
            isStarted = link->start().has_value();
        }
        REQUIRE(isStarted);
    }
    ~LinkFixture()
    {
        link->stop();
    }
    void run()
    {
        loop.after(Milliseconds(30), [this] {
            loop.stop();
        });
        loop.run();
    }

    eventloop::EventLoop loop;
    RecordingDelegate delegate;
    FleetLinkSettings settings;
    std::shared_ptr<FleetLink> link;
};

} // namespace

TEST_CASE("a peer of a build that does not read compact increments gets the base format")
{
    LinkFixture fixture;
    SocketPeer previousBuild("previous", fixture.settings.address.port);
    SocketPeer otherCapabilities("other", fixture.settings.address.port);
    SocketPeer sameBuild("same", fixture.settings.address.port);
    for (SocketPeer *it : {&previousBuild, &otherCapabilities, &sameBuild}) {
        it->sendFullState();
    }
    fixture.run();
    otherCapabilities.sendCapabilities(static_cast<std::uint64_t>(Capability::ColdBudgets));
    sameBuild.sendCapabilities(static_cast<std::uint64_t>(Capability::CompactIncrements));
    fixture.run();
    fixture.link->announcePlacement(placement);
    fixture.run();
    CHECK(previousBuild.receivedFormat() == PeerMessage::currentFormat);
    CHECK(otherCapabilities.receivedFormat() == PeerMessage::currentFormat);
    CHECK(sameBuild.receivedFormat() == compactIncrementFormat);

    // Rolled back: the new run has stated no capabilities.
    ++sameBuild.incarnation;
    sameBuild.sendFullState();
    fixture.run();
    fixture.link->announcePlacement(placement);
    fixture.run();
    CHECK(sameBuild.receivedFormat() == PeerMessage::currentFormat);
}

TEST_CASE("compact increments are used like those of the base format, and only of a known run of a peer")
{
    LinkFixture fixture;
    SocketPeer peer("peer", fixture.settings.address.port);
    const auto sendCompact = [&](std::uint64_t id) {
        PeerMessage message = peer.makeMessage();
        message.placements.push_back(placement);
        message.placements.back().id = id;
        peer.send(*encodeCompactIncrement(message));
        fixture.run();
    };
    sendCompact(1);
    CHECK(fixture.delegate.placementsByPeer.empty());
    peer.sendFullState();
    fixture.run();
    sendCompact(2);
    CHECK(fixture.delegate.placementsByPeer["peer"] == std::vector<std::uint64_t>{2});
    // A repeated datagram and one of another run change nothing.
    --peer.sequence;
    sendCompact(3);
    ++peer.incarnation;
    sendCompact(4);
    CHECK(fixture.delegate.placementsByPeer["peer"] == std::vector<std::uint64_t>{2});
}
