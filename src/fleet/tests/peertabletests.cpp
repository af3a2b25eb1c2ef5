// Tests of the peer table and of the decoding of peer messages.
#include "fleet/peertable.h"
#include "framework/global/random.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

PeerMessage makeMessage(const std::string &instance, std::uint64_t sequence)
{
    PeerMessage message;
    message.instance = instance;
    message.incarnation = 1;
    message.sequence = sequence;
    message.address = {"10.0.0." + instance, 7000};
    message.callerAddress = message.address.ip + ":80";
    message.isReady = true;
    return message;
}

PeerTable makeTable()
{
    return PeerTable("1", {"10.0.0.1", 7000}, {{"10.0.0.1", 7000}, {"10.0.0.9", 7000}});
}

} // namespace

TEST_CASE("the send targets are seeds and peers, but never the own address")
{
    PeerTable table = makeTable();
    CHECK(table.targets(start) == std::vector<PeerAddress>{{"10.0.0.9", 7000}});
    PeerMessage message = makeMessage("2", 1);
    message.peers = {{"10.0.0.1", 7000}, {"10.0.0.3", 7000}};
    CHECK(table.update(message, start) == PeerTable::UpdateResult::NewIncarnation);
    CHECK(table.targets(start).size() == 3);
}

TEST_CASE("repeated messages and those of an earlier run are ignored")
{
    PeerTable table = makeTable();
    CHECK(table.update(makeMessage("2", 5), start) == PeerTable::UpdateResult::NewIncarnation);
    CHECK(table.update(makeMessage("2", 5), start) == PeerTable::UpdateResult::Ignored);
    CHECK(table.update(makeMessage("2", 6), start) == PeerTable::UpdateResult::Updated);
    PeerMessage restarted = makeMessage("2", 1);
    restarted.incarnation = 2;
    CHECK(table.update(restarted, start) == PeerTable::UpdateResult::NewIncarnation);
    CHECK(table.update(makeMessage("2", 99), start) == PeerTable::UpdateResult::Ignored);
    CHECK(table.update(makeMessage("1", 1), start) == PeerTable::UpdateResult::Ignored);
}

TEST_CASE("an incremental message counts only for a known run and keeps the fields that it leaves out")
{
    PeerTable table = makeTable();
    PeerMessage incremental;
    incremental.instance = "2";
    incremental.incarnation = 1;
    incremental.sequence = 2;
    incremental.isReady = true;
    CHECK(table.update(incremental, start) == PeerTable::UpdateResult::Ignored);
    table.update(makeMessage("2", 1), start);
    CHECK(table.update(incremental, start + Milliseconds(900)) == PeerTable::UpdateResult::Updated);
    CHECK(table.peers().at("2").lastHeardAt == start + Milliseconds(900));
    CHECK(table.callerAddresses(start, {}) == std::vector<std::string>{"10.0.0.2:80"});
    incremental.incarnation = 2;
    incremental.sequence = 3;
    CHECK(table.update(incremental, start) == PeerTable::UpdateResult::Ignored);
}

TEST_CASE("caller addresses exclude peers that are leaving, not ready or silent")
{
    PeerTable table = makeTable();
    for (const char *name : {"2", "3", "4", "5"}) {
        table.update(makeMessage(name, 1), start);
    }
    PeerMessage leaving = makeMessage("3", 2);
    leaving.isLeaving = true;
    table.update(leaving, start);
    // A message from before the leave that arrives late does not undo it.
    table.update(makeMessage("3", 3), start);
    PeerMessage unready = makeMessage("4", 2);
    unready.isReady = false;
    table.update(unready, start);
    CHECK(table.callerAddresses(start, {}) == std::vector<std::string>{"10.0.0.2:80", "10.0.0.5:80"});
    table.update(makeMessage("2", 2), start + Milliseconds(2500));
    CHECK(table.callerAddresses(start + Milliseconds(2600), {}) == std::vector<std::string>{"10.0.0.2:80"});
}

namespace
{

/** Past the silence limit of a small fleet, as after the loss of peers that were last heard at `start`. */
const MonoTime noticedAt = start + Milliseconds(2000);

/** Returns a table that has heard the peers "2" to "9", and the first `heardCount` of them at `noticedAt` again. */
PeerTable tableAfterLoss(int heardCount)
{
    PeerTable table = makeTable();
    for (int i = 2; i < 10; ++i) {
        table.update(makeMessage(std::to_string(i), 1), start);
        if (i < 2 + heardCount) {
            table.update(makeMessage(std::to_string(i), 2), noticedAt);
        }
    }
    return table;
}

bool names(const std::vector<std::string> &addresses, const std::string &instance)
{
    return std::find(addresses.begin(), addresses.end(), "10.0.0." + instance + ":80") != addresses.end();
}

} // namespace

TEST_CASE("silent peers are not named to callers beside live ones, however many are silent")
{
    // Guards against the naming of lost peers for a minute after the loss of most.
    const int heardCount = GENERATE(1, 2, 3, 4, 7);
    const PeerTable table = tableAfterLoss(heardCount);
    for (const bool areUpstreamsReached : {true, false}) {
        for (const bool isStoreReached : {true, false}) {
            const auto addresses = table.callerAddresses(noticedAt, {true, areUpstreamsReached, isStoreReached});
            CHECK(addresses.size() == static_cast<std::size_t>(heardCount));
            CHECK_FALSE(names(addresses, "9"));
        }
    }
    // The answer for a region without live instances stays empty, so that the next region is asked for.
    CHECK(table
              .callerAddresses(noticedAt, {false, false, false},
                  [](const Peer &peer) {
                      return peer.instance == "9";
                  })
              .empty());
}

TEST_CASE("if all peers are silent, they are named only by an instance that reaches neither store nor upstreams")
{
    // Guards against the naming of lost peers by the only instance that is left.
    const PeerTable table = tableAfterLoss(0);
    CHECK(table.callerAddresses(noticedAt, {true, true, true}).empty());
    CHECK(table.callerAddresses(noticedAt, {true, true, false}).empty());
    CHECK(table.callerAddresses(noticedAt, {true, false, true}).empty());
    CHECK_FALSE(table.hasSoundPeer(noticedAt));
    CHECK(table.callerAddresses(noticedAt, {true, false, false}).size() == 8);
    CHECK(table.callerAddresses(start + Milliseconds(61'000), {true, false, false}).empty());
    CHECK(table.liveInstanceCount(noticedAt) == 1);
}

TEST_CASE("peers that are lost one group after the other are not named to callers")
{
    PeerTable table = tableAfterLoss(4);
    CHECK(table.callerAddresses(noticedAt, {}).size() == 4);
    const MonoTime later = noticedAt + Milliseconds(2000);
    table.update(makeMessage("2", 3), later);
    CHECK(table.callerAddresses(later, {}) == std::vector<std::string>{"10.0.0.2:80"});
}

TEST_CASE("after the loss of most peers a partitioned one is named only if no other is live")
{
    PeerTable table = tableAfterLoss(2);
    PeerMessage partitioned = makeMessage("2", 3);
    partitioned.isPartitioned = true;
    table.update(partitioned, noticedAt);
    CHECK(table.callerAddresses(noticedAt, {}) == std::vector<std::string>{"10.0.0.3:80"});
    const MonoTime later = noticedAt + Milliseconds(2000);
    partitioned.sequence = 4;
    table.update(partitioned, later);
    CHECK(table.callerAddresses(later, {}).empty());
    CHECK(table.callerAddresses(later, {true, false, true}) == std::vector<std::string>{"10.0.0.2:80"});
}

TEST_CASE("lost peers are named again when they are back, and never by the address that they have left")
{
    PeerTable table = tableAfterLoss(1);
    PeerMessage back = makeMessage("8", 1);
    back.incarnation = 2;
    table.update(back, noticedAt);
    PeerMessage moved = makeMessage("9", 1);
    moved.incarnation = 2;
    moved.address.ip = "10.0.0.99";
    moved.callerAddress = "10.0.0.99:80";
    table.update(moved, noticedAt);
    CHECK(
        table.callerAddresses(noticedAt, {}) == std::vector<std::string>{"10.0.0.2:80", "10.0.0.8:80", "10.0.0.99:80"});
}

TEST_CASE("a lost peer of a large fleet is not named longer than the limit, though its silence is noticed later")
{
    PeerTableParameters parameters;
    parameters.maxNamedSilence = Milliseconds(7000);
    PeerTable table("1", {"10.0.0.1", 7000}, {}, parameters);
    for (int i = 2; i < 300; ++i) {
        table.update(makeMessage(std::to_string(i), 1), start);
    }
    const MonoTime limit = start + parameters.maxNamedSilence;
    table.update(makeMessage("2", 2), limit);
    CHECK(table.callerAddresses(limit, {}).size() == 298);
    CHECK(table.callerAddresses(limit + Milliseconds(1), {}) == std::vector<std::string>{"10.0.0.2:80"});
    CHECK(table.hasSoundPeer(limit + Milliseconds(1)));
    CHECK_FALSE(table.hasSoundPeer(limit + Milliseconds(7001)));
}

TEST_CASE("silent peers are removed, so that the table has room for new ones")
{
    PeerTableParameters parameters;
    parameters.maxPeers = 4;
    PeerTable table("1", {"10.0.0.1", 7000}, {}, parameters);
    MonoTime now = start;
    for (int i = 2; i < 40; ++i) {
        now += Milliseconds(20'000);
        table.prune(now);
        CHECK(table.update(makeMessage(std::to_string(i), 1), now) == PeerTable::UpdateResult::NewIncarnation);
        CHECK(table.peers().size() <= 4);
    }
}

TEST_CASE("the heartbeat interval grows with the number of peers")
{
    PeerTable table = makeTable();
    const Milliseconds intervalForFew = table.heartbeatInterval();
    for (int i = 2; i < 100; ++i) {
        table.update(makeMessage(std::to_string(i), 1), start);
    }
    CHECK(table.heartbeatInterval() > intervalForFew);
}

TEST_CASE("capabilities belong to a run of a peer, and a peer that has stated none has none")
{
    PeerTable table = makeTable();
    ExtensionMessage extension;
    extension.instance = "2";
    extension.incarnation = 1;
    extension.sequence = 1;
    extension.capabilities = static_cast<std::uint64_t>(Capability::Evacuations) | (std::uint64_t{1} << 60);
    // An extension message has no address of its sender, so it counts only for a run that is already known.
    CHECK_FALSE(table.recordExtension(extension));
    CHECK(table.haveAllLivePeers(Capability::Evacuations, start));
    table.update(makeMessage("2", 1), start);
    CHECK_FALSE(table.peers().at("2").hasCapability(Capability::Evacuations));
    CHECK_FALSE(table.haveAllLivePeers(Capability::Evacuations, start));
    CHECK(table.recordExtension(extension));
    CHECK_FALSE(table.recordExtension(extension));
    CHECK(table.haveAllLivePeers(Capability::Evacuations, start));
    CHECK_FALSE(table.haveAllLivePeers(Capability::ColdBudgets, start));
    // Messages of the base protocol keep them.
    table.update(makeMessage("2", 2), start);
    CHECK(table.haveAllLivePeers(Capability::Evacuations, start));

    // Rolled back to a build without extension messages.
    PeerMessage restarted = makeMessage("2", 1);
    restarted.incarnation = 2;
    table.update(restarted, start);
    CHECK_FALSE(table.haveAllLivePeers(Capability::Evacuations, start));
    extension.sequence = 99;
    CHECK_FALSE(table.recordExtension(extension));
    // Upgraded again.
    restarted.incarnation = 3;
    table.update(restarted, start);
    extension.incarnation = 3;
    extension.sequence = 1;
    CHECK(table.recordExtension(extension));
    CHECK(table.haveAllLivePeers(Capability::Evacuations, start));
}

TEST_CASE("silent peers do not decide whether all live peers have a capability")
{
    PeerTable table = makeTable();
    table.update(makeMessage("2", 1), start);
    table.update(makeMessage("3", 1), start);
    ExtensionMessage extension;
    extension.instance = "3";
    extension.incarnation = 1;
    extension.sequence = 1;
    extension.capabilities = static_cast<std::uint64_t>(Capability::ColdBudgets);
    CHECK(table.recordExtension(extension));
    CHECK_FALSE(table.haveAllLivePeers(Capability::ColdBudgets, start));
    REQUIRE(table.suspect("2", 1, start + Milliseconds(1)));
    CHECK(table.haveAllLivePeers(Capability::ColdBudgets, start));
    // An extension message is no sign of life, as builds without them do not see it.
    extension.sequence = 2;
    CHECK(table.recordExtension(extension));
    CHECK(table.peers().at("3").lastHeardAt == start);
}

TEST_CASE("truncated messages are rejected, and corrupted ones do not crash the decoder")
{
    Random random(11);
    PeerMessage message = makeMessage("2", 1);
    message.placements.resize(3);
    message.placements[1].helpers = {1, 2, 3};
    const std::string bytes = peerlink::encode(message);
    REQUIRE(peerlink::decode<PeerMessage>(bytes));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(peerlink::decode<PeerMessage>(bytes.substr(0, n)));
    }
    constexpr int rounds = 5000;
    for (int i = 0; i < rounds; ++i) {
        std::string mutated = bytes;
        for (int flips = 0; flips < 4; ++flips) {
            mutated[random.below(mutated.size())] = static_cast<char>(random.below(256));
        }
        static_cast<void>(peerlink::decode<PeerMessage>(mutated));
    }
}
