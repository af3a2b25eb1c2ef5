// Who is alive, and what callers are told.
#include "fleet/peertable.h"
#include "framework/global/random.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

PeerMessage makeMessage(const std::string &instance, std::uint64_t sequence)
{
    PeerMessage made;
    made.instance = instance;
    made.incarnation = 1;
    made.sequence = sequence;
    made.address = {"10.0.0." + instance, 7000};
    made.callerAddress = made.address.ip + ":80";
    made.isReady = true;
    return made;
}

PeerTable makeTable()
{
    return PeerTable("1", {"10.0.0.1", 7000}, {{"10.0.0.1", 7000}, {"10.0.0.9", 7000}});
}

} // namespace

TEST_CASE("seeds and peers are written to, and never oneself")
{
    PeerTable table = makeTable();
    CHECK(table.targets(start) == std::vector<PeerAddress>{{"10.0.0.9", 7000}});
    PeerMessage message = makeMessage("2", 1);
    message.peers = {{"10.0.0.1", 7000}, {"10.0.0.3", 7000}};
    CHECK(table.update(message, start) == PeerTable::UpdateResult::NewIncarnation);
    CHECK(table.targets(start).size() == 3);
}

TEST_CASE("old messages and those of an earlier start are ignored")
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

TEST_CASE("a small message counts for a known start only, and keeps what a whole one said")
{
    PeerTable table = makeTable();
    PeerMessage small;
    small.instance = "2";
    small.incarnation = 1;
    small.sequence = 2;
    small.isReady = true;
    CHECK(table.update(small, start) == PeerTable::UpdateResult::Ignored);
    table.update(makeMessage("2", 1), start);
    CHECK(table.update(small, start + Milliseconds(900)) == PeerTable::UpdateResult::Updated);
    CHECK(table.peers().at("2").lastHeardAt == start + Milliseconds(900));
    CHECK(table.callerAddresses(start) == std::vector<std::string>{"10.0.0.2:80"});
    small.incarnation = 2;
    small.sequence = 3;
    CHECK(table.update(small, start) == PeerTable::UpdateResult::Ignored);
}

TEST_CASE("leaving, unready and silent peers are not given to callers")
{
    PeerTable table = makeTable();
    for (const char *name : {"2", "3", "4", "5"}) {
        table.update(makeMessage(name, 1), start);
    }
    PeerMessage leaving = makeMessage("3", 2);
    leaving.isLeaving = true;
    table.update(leaving, start);
    // A word that was overtaken does not undo the leaving.
    table.update(makeMessage("3", 3), start);
    PeerMessage unready = makeMessage("4", 2);
    unready.isReady = false;
    table.update(unready, start);
    CHECK(table.callerAddresses(start) == std::vector<std::string>{"10.0.0.2:80", "10.0.0.5:80"});
    table.update(makeMessage("2", 2), start + Milliseconds(2500));
    CHECK(table.callerAddresses(start + Milliseconds(2600)) == std::vector<std::string>{"10.0.0.2:80"});
}

TEST_CASE("where most fall silent together, the fault is taken to be on this side")
{
    PeerTable table = makeTable();
    for (const char *name : {"2", "3", "4", "5"}) {
        table.update(makeMessage(name, 1), start);
    }
    CHECK(table.callerAddresses(start + Milliseconds(5000)).size() == 4);
    CHECK(table.liveInstanceCount(start + Milliseconds(5000)) == 1);
    CHECK(table.callerAddresses(start + Milliseconds(61'000)).empty());
}

TEST_CASE("replaced peers are forgotten, so that new ones always find room")
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

TEST_CASE("the pace falls with the number of peers")
{
    PeerTable table = makeTable();
    const Milliseconds few = table.interval();
    for (int i = 2; i < 100; ++i) {
        table.update(makeMessage(std::to_string(i), 1), start);
    }
    CHECK(table.interval() > few);
}

TEST_CASE("malformed datagrams are refused and never crash the decoder")
{
    Random random(11);
    PeerMessage whole = makeMessage("2", 1);
    whole.placements.resize(3);
    whole.placements[1].helpers = {1, 2, 3};
    const std::string bytes = peerlink::encode(whole);
    REQUIRE(peerlink::decode<PeerMessage>(bytes));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(peerlink::decode<PeerMessage>(bytes.substr(0, n)));
    }
    constexpr int rounds = 5000;
    for (int i = 0; i < rounds; ++i) {
        std::string changed = bytes;
        for (int flips = 0; flips < 4; ++flips) {
            changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        }
        static_cast<void>(peerlink::decode<PeerMessage>(changed));
    }
}
