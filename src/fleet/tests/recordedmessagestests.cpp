// Tests that this build and the build e1a7b6c read each other's messages.
#include "recordedmessages.h"
#include "startlink.h"

#include "fleet/fleetlink.h"
#include "fleet/types/extensionmessage.h"
#include "framework/eventloop/eventloop.h"

#include <catch2/catch.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

using namespace magnolia;
using namespace magnolia::fleet;
using namespace magnolia::fleet::tests;

namespace
{

std::string readRecorded(const std::string &name)
{
    std::ifstream file(std::string(MAGNOLIA_FLEET_TEST_DATA) + '/' + name, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/** Decodes as strictly as the previous build, with cereal's own archive: no byte may be missing or left over. */
template <typename T>
std::optional<T> decodeStrictly(const std::string &bytes)
{
    std::istringstream stream(bytes);
    T value;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(value);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    if (stream.peek() != std::istringstream::traits_type::eof()) {
        return std::nullopt;
    }
    return value;
}

template <typename T>
void checkBothDirections(const std::string &name, const T &value)
{
    INFO(name);
    const std::string recorded = readRecorded(name);
    const auto read = peerlink::decode<T>(recorded);
    REQUIRE(read);
    // The same bytes for the value that was read show that every field was read.
    CHECK(peerlink::encode(*read) == recorded);
    CHECK(peerlink::encode(value) == recorded);
    const auto readBack = decodeStrictly<T>(peerlink::encode(value));
    REQUIRE(readBack);
    CHECK(peerlink::encode(*readBack) == recorded);
}

/** Has one entry in each list that full-state messages and snapshots include. */
struct FilledDelegate : IFleetDelegate
{
    OwnState ownState() const override
    {
        return {true, false, false, 42, {3, 90'210}, true, true, {}, MonoTime(std::chrono::seconds(1))};
    }
    std::vector<PlacementRecord> ownPlacements() const override
    {
        return recordedFullState().placements;
    }
    std::vector<QuarantineRecord> ownQuarantine() const override
    {
        return recordedFullState().quarantine;
    }
    Snapshot snapshot() const override
    {
        return recordedSnapshot();
    }
    void onPeerMessage(const PeerMessage &message) override
    {
        messages.push_back(message);
    }
    void onSnapshot(const Snapshot & /*snapshot*/) override
    {
    }
    void onStoreConfirmed(const published::StorePosition &position, MonoTime /*at*/) override
    {
        confirmed = position;
    }
    void onPeerLost(const std::string & /*instance*/) override
    {
    }
    std::vector<ExtensionRecord> ownExtensionRecords() const override
    {
        return {{1, "cold"}, {2, "evacuated"}};
    }

    std::vector<PeerMessage> messages;
    std::optional<published::StorePosition> confirmed;
};

std::vector<std::string> receiveAll(Poco::Net::DatagramSocket &socket)
{
    std::vector<std::string> datagrams;
    std::array<char, 65'536> buf{};
    socket.setBlocking(false);
    try {
        for (int n = socket.receiveBytes(buf.data(), buf.size()); n > 0;
             n = socket.receiveBytes(buf.data(), buf.size())) {
            datagrams.emplace_back(buf.data(), static_cast<std::size_t>(n));
        }
    } catch (const Poco::Exception &) {
        return datagrams;
    }
    return datagrams;
}

} // namespace

TEST_CASE("messages recorded from the previous build are read, and the same bytes are written")
{
    checkBothDirections("format-11-increment.bin", recordedIncrement());
    checkBothDirections("format-11-full-state.bin", recordedFullState());
    checkBothDirections("format-11-empty.bin", PeerMessage());
    checkBothDirections("format-103.bin", recordedProbe());
    checkBothDirections("format-103-empty.bin", ProbeMessage());
    checkBothDirections("snapshot.bin", recordedSnapshot());
    checkBothDirections("snapshot-empty.bin", Snapshot());
}

TEST_CASE("the recorded messages have the values that were written")
{
    const auto full = peerlink::decode<PeerMessage>(readRecorded("format-11-full-state.bin"));
    REQUIRE(full);
    CHECK(full->instance == "gw-17");
    CHECK(full->callerAddress == "10.2.0.29:8227");
    CHECK(full->storePosition == published::StorePosition{3, 90'210});
    REQUIRE(full->placements.size() == 2);
    CHECK(full->placements[0].helpers == std::vector<std::uint64_t>{1, 2, 3});
    REQUIRE(full->crashes.size() == 2);
    CHECK(full->crashes[1].established == std::vector<std::uint64_t>{28, 29});
    REQUIRE(full->limits.size() == 2);
    CHECK(full->limits[0].requestsPerSecond == 17.5);
    REQUIRE(full->quarantine.size() == 1);
    CHECK(full->quarantine[0].remainingMs == 29'000);
    const auto probe = peerlink::decode<ProbeMessage>(readRecorded("format-103.bin"));
    REQUIRE(probe);
    CHECK(probe->storeAgeMs == 1200);
    REQUIRE(probe->suspicions.size() == 2);
    CHECK(probe->suspicions[0].instance == "gw-3");
    const auto snapshot = peerlink::decode<Snapshot>(readRecorded("snapshot.bin"));
    REQUIRE(snapshot);
    REQUIRE(snapshot->items.size() == 3);
    CHECK(snapshot->items[2].isDeleted);
}

TEST_CASE("a link accepts the datagrams of the previous build")
{
    eventloop::EventLoop loop;
    FilledDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.callerAddress = "127.0.0.1:1";
    const auto link = startLink(loop, settings, delegate);
    REQUIRE(link);
    Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    const auto send = [&](const std::string &bytes) {
        socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
        runRounds(loop, 2);
    };
    send(readRecorded("format-11-full-state.bin"));
    REQUIRE(link->table().peers().contains("gw-17"));
    CHECK(link->table().peers().at("gw-17").dataCentre == "z2");
    CHECK(link->table().peers().at("gw-17").capabilities == 0);
    REQUIRE(delegate.messages.size() == 1);
    CHECK(peerlink::encode(delegate.messages[0]) == readRecorded("format-11-full-state.bin"));
    send(readRecorded("format-103.bin"));
    CHECK(delegate.confirmed == published::StorePosition{3, 90'210});
    link->stop();
}

TEST_CASE("the previous build reads the base messages that a link sends, and ignores only the extension messages")
{
    eventloop::EventLoop loop;
    FilledDelegate delegate;
    FleetLinkSettings settings;
    settings.instance = "a";
    settings.dataCentre = "z1";
    settings.callerAddress = "127.0.0.1:1";
    settings.relayAddress = "127.0.0.1:2";
    settings.incarnation = 5;
    settings.capabilities = 3;
    const auto link = startLink(loop, settings, delegate);
    REQUIRE(link);
    Poco::Net::DatagramSocket peer(Poco::Net::SocketAddress("127.0.0.1", 0));
    PeerMessage hello;
    hello.instance = "previous";
    hello.incarnation = 1;
    hello.sequence = 1;
    hello.address = {"127.0.0.1", peer.address().port()};
    hello.callerAddress = "127.0.0.1:3";
    const std::string bytes = peerlink::encode(hello);
    peer.sendTo(
        bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
    runRounds(loop, 2);
    link->announcePlacement(recordedIncrement().placements[0]);
    link->announceDecoding(1);
    link->announceEnd({2, 3, 1});
    link->announceLeaving({4, 5});
    link->announceLimit({6, 7, true, 8.5});
    link->announceCrash(recordedIncrement().crashes[0]);
    link->announceSuccess(9);
    link->announceExtension({77, "unknown"});
    link->announceExtensionToCell({78, "unknown"});
    link->announceStoreCheck();
    link->sendFullState();
    runRounds(loop, 5);

    std::map<int, int> countByFormat;
    PeerMessage seen;
    for (const std::string &it : receiveAll(peer)) {
        REQUIRE(it.size() > 1);
        const int format = static_cast<std::uint8_t>(it[1]);
        ++countByFormat[format];
        if (format == PeerMessage::currentFormat) {
            const auto message = decodeStrictly<PeerMessage>(it);
            REQUIRE(message);
            CHECK(peerlink::encode(*message) == it);
            seen.placements.insert(seen.placements.end(), message->placements.begin(), message->placements.end());
            seen.ends.insert(seen.ends.end(), message->ends.begin(), message->ends.end());
            seen.leaving.insert(seen.leaving.end(), message->leaving.begin(), message->leaving.end());
            seen.limits.insert(seen.limits.end(), message->limits.begin(), message->limits.end());
            seen.crashes.insert(seen.crashes.end(), message->crashes.begin(), message->crashes.end());
            seen.succeeded.insert(seen.succeeded.end(), message->succeeded.begin(), message->succeeded.end());
            seen.quarantine.insert(seen.quarantine.end(), message->quarantine.begin(), message->quarantine.end());
        } else if (format == ProbeMessage::currentFormat) {
            const auto message = decodeStrictly<ProbeMessage>(it);
            REQUIRE(message);
            CHECK(peerlink::encode(*message) == it);
        } else {
            // The previous build reads no other format, and must not mistake this one for a message of its own.
            CHECK(format == ExtensionMessage::currentFormat);
            const auto message = decodeStrictly<PeerMessage>(it);
            CHECK((!message || message->format != PeerMessage::currentFormat));
        }
    }
    CHECK(countByFormat[PeerMessage::currentFormat] > 0);
    CHECK(countByFormat[ProbeMessage::currentFormat] > 0);
    // To the new peer at once, and for the two announcements.
    CHECK(countByFormat[ExtensionMessage::currentFormat] >= 3);
    CHECK(seen.placements.size() >= 2);
    CHECK_FALSE(seen.ends.empty());
    CHECK_FALSE(seen.leaving.empty());
    CHECK_FALSE(seen.limits.empty());
    CHECK_FALSE(seen.crashes.empty());
    CHECK_FALSE(seen.succeeded.empty());
    CHECK_FALSE(seen.quarantine.empty());

    // The snapshot is sent on a connection; the bytes are those of the previous build.
    std::string received;
    Poco::Net::StreamSocket connection;
    connection.connectNB(Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
    runRounds(loop, 5);
    connection.setBlocking(false);
    std::array<char, 65'536> buf{};
    const int n = connection.receiveBytes(buf.data(), buf.size());
    REQUIRE(n > 0);
    CHECK(std::string(buf.data(), static_cast<std::size_t>(n)) == readRecorded("snapshot.bin"));
    link->stop();
}

TEST_CASE("extension messages without records add at most 5 in 100 to the bytes of the heartbeats")
{
    // The bound of docs/design/hard-load.md. Placements and probes, which only add to the base, are left out.
    constexpr std::size_t headerBytes = 28;
    constexpr int heartbeats = 32;
    struct EmptyDelegate : FilledDelegate
    {
        std::vector<PlacementRecord> ownPlacements() const override
        {
            return {};
        }
        std::vector<QuarantineRecord> ownQuarantine() const override
        {
            return {};
        }
        std::vector<ExtensionRecord> ownExtensionRecords() const override
        {
            return {};
        }
    };
    for (const int instances : {6, 77, 330}) {
        eventloop::EventLoop loop;
        EmptyDelegate delegate;
        FleetLinkSettings settings;
        settings.instance = "gw-17";
        settings.dataCentre = "z1";
        settings.callerAddress = "127.0.0.1:8227";
        settings.relayAddress = "127.0.0.1:7341";
        settings.incarnation = 1'796'400'000'123;
        settings.capabilities = 3;
        const auto link = startLink(loop, settings, delegate);
        REQUIRE(link);
        Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        for (int i = 1; i < instances; ++i) {
            PeerMessage message = recordedFullState();
            message.instance = "gw-" + std::to_string(100 + i);
            // Only the first peer receives what it is sent.
            message.address = i == 1
                ? PeerAddress{"127.0.0.1", socket.address().port()}
                : PeerAddress{"127.0.1." + std::to_string(i % 250 + 1), static_cast<std::uint16_t>(30'000 + i)};
            message.peers.clear();
            const std::string bytes = peerlink::encode(message);
            socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
            if (i % 50 == 0) {
                runRounds(loop, 1);
            }
        }
        runRounds(loop, 2);
        REQUIRE(link->table().peers().size() == static_cast<std::size_t>(instances - 1));
        receiveAll(socket);
        std::map<int, std::size_t> bytesByFormat;
        for (int i = 0; i < heartbeats; ++i) {
            link->sendFullState();
            for (const std::string &it : receiveAll(socket)) {
                bytesByFormat[static_cast<std::uint8_t>(it[1])] += it.size() + headerBytes;
            }
        }
        const std::size_t base = bytesByFormat[PeerMessage::currentFormat];
        const std::size_t added = bytesByFormat[ExtensionMessage::currentFormat];
        const auto interval = link->table().heartbeatInterval();
        const double perSecond = static_cast<double>(instances - 1) * 1000 / static_cast<double>(interval.count());
        INFO(instances << " instances: one instance sends " << static_cast<double>(base) / heartbeats * perSecond
                       << " bytes/s of heartbeats and " << static_cast<double>(added) / heartbeats * perSecond
                       << " bytes/s of extension messages");
        CHECK(added > 0);
        CHECK(added * 100 <= base * 5);
        link->stop();
    }
}
