// Tests that messages which cannot be used are counted and logged at most once a minute, and end nothing.
#include "recordedmessages.h"
#include "startlink.h"

#include "fleet/extensioncodec.h"
#include "fleet/fleetlink.h"
#include "fleet/internal/rejectionlog.h"
#include "framework/eventloop/eventloop.h"
#include "framework/global/random.h"
#include "framework/testing/fuzzing.h"

#include <catch2/catch.hpp>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <map>
#include <stdexcept>

using namespace magnolia;
using namespace magnolia::fleet;
using namespace magnolia::fleet::tests;

namespace
{

struct CountingDelegate : IFleetDelegate
{
    OwnState ownState() const override
    {
        return {true, false, false, 42, {3, 90'210}, true, true, {}, {}};
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
        if (message.instance == "unexpected") {
            throw std::runtime_error("not expected");
        }
        for (const UpstreamLimit &it : message.limits) {
            hasInfiniteLimit = hasInfiniteLimit || !std::isfinite(it.requestsPerSecond);
        }
        lastLimitCount = message.limits.size();
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
    void onExtensionRecords(const std::string &instance, const std::vector<ExtensionRecord> &records) override
    {
        recordsOf[instance] = records;
    }
    void onRejected(RejectReason reason) override
    {
        ++rejected[reason];
    }

    std::map<RejectReason, int> rejected;
    std::map<std::string, std::vector<ExtensionRecord>> recordsOf;
    std::size_t lastLimitCount = 0;
    bool hasInfiniteLimit = false;
};

struct LinkUnderTest
{
    LinkUnderTest()
    {
        settings.instance = "a";
        settings.callerAddress = "127.0.0.1:1";
        link = startLink(loop, settings, delegate);
        REQUIRE(link);
    }
    ~LinkUnderTest()
    {
        link->stop();
    }
    LinkUnderTest(const LinkUnderTest &) = delete;
    LinkUnderTest &operator=(const LinkUnderTest &) = delete;

    void run()
    {
        runRounds(loop, 1);
    }
    void send(const std::string &bytes)
    {
        socket.sendTo(
            bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress("127.0.0.1", settings.address.port));
    }
    /** Sends a datagram and returns how many were rejected for `reason` in all. */
    int rejectedAfter(const std::string &bytes, RejectReason reason)
    {
        send(bytes);
        run();
        return delegate.rejected[reason];
    }

    eventloop::EventLoop loop;
    CountingDelegate delegate;
    FleetLinkSettings settings;
    std::shared_ptr<FleetLink> link;
    Poco::Net::DatagramSocket socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
};

PeerMessage localFullState()
{
    PeerMessage message = recordedFullState();
    message.address = {"127.0.0.1", 9};
    message.peers.clear();
    return message;
}

ProbeMessage localProbe()
{
    ProbeMessage message = recordedProbe();
    message.address = {"127.0.0.1", 9};
    message.isAck = false;
    return message;
}

ExtensionMessage localExtension()
{
    ExtensionMessage message;
    message.instance = "gw-17";
    message.incarnation = recordedFullState().incarnation;
    message.sequence = 1;
    message.records = {{1, "cold"}, {2, "evacuated"}, {99, "unknown"}};
    return message;
}

std::string mutate(std::string bytes, Random &random)
{
    const std::uint64_t kind = random.below(5);
    if (kind == 0) {
        bytes.resize(random.below(bytes.size()));
    } else if (kind == 1) {
        const std::size_t added = 1 + random.below(40);
        for (std::size_t i = 0; i < added; ++i) {
            bytes.push_back(static_cast<char>(random.below(256)));
        }
    } else if (kind == 2) {
        bytes = testing::mutated(std::move(bytes), random);
    } else {
        const std::size_t flips = 1 + random.below(6);
        for (std::size_t i = 0; i < flips && !bytes.empty(); ++i) {
            bytes[random.below(bytes.size())] = static_cast<char>(kind == 3 ? random.below(256) : 0xff);
        }
    }
    return bytes;
}

bool isLoopback(const PeerAddress &address)
{
    return address.ip.rfind("127.", 0) == 0;
}

/** Whether a link that uses the datagram sends only to loopback addresses. */
bool staysOnLoopback(const std::string &bytes)
{
    const auto message = peerlink::decode<PeerMessage>(bytes);
    const auto probe = peerlink::decode<ProbeMessage>(bytes);
    return (!message
               || (isLoopback(message->address)
                   && std::all_of(message->peers.begin(), message->peers.end(), isLoopback)))
        && (!probe || isLoopback(probe->address));
}

std::vector<std::uint64_t> fuzzSeeds()
{
    const char *seed = std::getenv("MAGNOLIA_SEED");
    return seed != nullptr ? std::vector<std::uint64_t>{std::strtoull(seed, nullptr, 10)}
                           : std::vector<std::uint64_t>{1, 2, 3, 4};
}

} // namespace

TEST_CASE("datagrams that cannot be used are counted by their reason, and the link goes on")
{
    LinkUnderTest test;
    const std::string full = peerlink::encode(localFullState());
    CHECK(test.rejectedAfter(full.substr(0, full.size() - 1), RejectReason::Truncated) == 1);
    CHECK(test.rejectedAfter(std::string(1, '\1'), RejectReason::Truncated) == 2);
    CHECK(test.rejectedAfter(full + 'x', RejectReason::Malformed) == 1);
    CHECK(test.rejectedAfter("\7" + full.substr(1), RejectReason::Malformed) == 2);
    std::string laterFormat = full;
    laterFormat[1] = 12;
    CHECK(test.rejectedAfter(laterFormat, RejectReason::UnknownVersion) == 1);
    ExtensionMessage laterVersion = localExtension();
    laterVersion.minVersion = 2;
    laterVersion.maxVersion = 2;
    CHECK(test.rejectedAfter(encodeExtension(laterVersion), RejectReason::UnknownVersion) == 2);
    CHECK(test.rejectedAfter(full.substr(0, 2) + std::string(62'000, 'x'), RejectReason::Oversized) == 1);
    const std::string probe = peerlink::encode(localProbe());
    CHECK(test.rejectedAfter(probe.substr(0, probe.size() / 2), RejectReason::Truncated) == 3);
    CHECK(test.rejectedAfter(probe + 'x', RejectReason::Malformed) == 3);
    // Names would be looked up, which blocks the event loop.
    PeerMessage named = localFullState();
    named.address.ip = "host.example";
    CHECK(test.rejectedAfter(peerlink::encode(named), RejectReason::Malformed) == 4);
    ProbeMessage namedProbe = localProbe();
    namedProbe.address.ip = "";
    CHECK(test.rejectedAfter(peerlink::encode(namedProbe), RejectReason::Malformed) == 5);
    CHECK(test.link->table().peers().empty());

    test.rejectedAfter(full, RejectReason::Failed);
    CHECK(test.link->table().peers().contains("gw-17"));
    PeerMessage unexpected = localFullState();
    unexpected.instance = "unexpected";
    CHECK(test.rejectedAfter(peerlink::encode(unexpected), RejectReason::Failed) == 1);
    test.rejectedAfter(encodeExtension(localExtension()), RejectReason::Failed);
    CHECK(test.delegate.recordsOf["gw-17"] == localExtension().records);
}

TEST_CASE("limits that are not finite are counted and left out, and the rest of the message is used")
{
    LinkUnderTest test;
    PeerMessage message = localFullState();
    message.limits.push_back({1, 2, true, std::numeric_limits<double>::quiet_NaN()});
    message.limits.push_back({1, 2, true, -std::numeric_limits<double>::infinity()});
    CHECK(test.rejectedAfter(peerlink::encode(message), RejectReason::NotFinite) == 1);
    CHECK_FALSE(test.delegate.hasInfiniteLimit);
    CHECK(test.delegate.lastLimitCount == localFullState().limits.size());
    CHECK(test.link->table().peers().contains("gw-17"));
}

TEST_CASE("rejected datagrams cause at most one log line per sender address and minute")
{
    RejectionLog log;
    MonoTime now{std::chrono::seconds(100)};
    CHECK(log.shouldLog("a:1", now));
    CHECK_FALSE(log.shouldLog("a:1", now + Milliseconds(59'999)));
    CHECK(log.shouldLog("b:1", now));
    CHECK(log.shouldLog("a:1", now + Milliseconds(60'000)));
    CHECK_FALSE(log.shouldLog("a:1", now + Milliseconds(60'001)));
    // Datagrams from many forged addresses neither fill the memory nor the log.
    std::size_t count = 0;
    for (int i = 0; i < 10'000; ++i) {
        count += log.shouldLog("forged:" + std::to_string(i), now + Milliseconds(60'002)) ? 1 : 0;
    }
    CHECK(count <= RejectionLog::maxAddresses);
    CHECK(log.shouldLog("c:1", now + Milliseconds(200'000)));
}

TEST_CASE("corrupted messages of all kinds are decoded or rejected without a crash")
{
    constexpr int rounds = 4000;
    const std::vector<std::string> originals{peerlink::encode(recordedFullState()),
        peerlink::encode(recordedIncrement()), peerlink::encode(recordedProbe()), encodeExtension(localExtension()),
        peerlink::encode(recordedSnapshot())};
    for (const std::uint64_t seed : fuzzSeeds()) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        for (int i = 0; i < rounds; ++i) {
            const std::string bytes = mutate(originals[random.below(originals.size())], random);
            const auto message = peerlink::decode<PeerMessage>(bytes);
            const auto probe = peerlink::decode<ProbeMessage>(bytes);
            const auto snapshot = peerlink::decode<Snapshot>(bytes);
            const auto extension = decodeExtension(bytes);
            // A value that was read has only what the input has room for.
            CHECK((!message || message->placements.size() <= bytes.size()));
            CHECK((!probe || probe->suspicions.size() <= bytes.size()));
            CHECK((!snapshot || snapshot->items.size() <= bytes.size()));
            CHECK((!extension || extension->records.size() <= ExtensionMessage::maxRecords));
        }
    }
}

TEST_CASE("a link that receives corrupted datagrams goes on and counts them")
{
    constexpr int rounds = 1500;
    constexpr int datagramsAtOnce = 50;
    for (const std::uint64_t seed : fuzzSeeds()) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        LinkUnderTest test;
        const std::vector<std::string> originals{peerlink::encode(localFullState()), peerlink::encode(localProbe()),
            encodeExtension(localExtension()), std::string(2, '\1')};
        for (int i = 0; i < rounds; ++i) {
            const std::string bytes = mutate(originals[random.below(originals.size())], random);
            if (staysOnLoopback(bytes)) {
                test.send(bytes);
            }
            if (i % datagramsAtOnce == 0) {
                test.run();
            }
        }
        test.run();
        CHECK(test.delegate.rejected[RejectReason::Truncated] > 0);
        CHECK(test.delegate.rejected[RejectReason::Malformed] > 0);
        CHECK(test.delegate.rejected[RejectReason::UnknownVersion] > 0);
        CHECK(test.delegate.rejected[RejectReason::Failed] == 0);
        CHECK_FALSE(test.delegate.hasInfiniteLimit);
        PeerMessage message = localFullState();
        message.instance = "after";
        test.rejectedAfter(peerlink::encode(message), RejectReason::Failed);
        CHECK(test.link->table().peers().contains("after"));
    }
}

TEST_CASE("a snapshot that states millions of items is rejected without memory for them")
{
    // The stated number is within the bound of one byte per item; an item takes 88 bytes of memory.
    constexpr std::size_t size = std::size_t{32} << 20;
    std::string bytes = peerlink::encode(Snapshot());
    bytes.resize(bytes.size() - sizeof(std::uint64_t));
    const std::uint64_t count = size - 100;
    bytes += peerlink::encode(count).substr(1);
    bytes.resize(size, '\xff');
    CHECK_FALSE(peerlink::decode<Snapshot>(bytes));
}
