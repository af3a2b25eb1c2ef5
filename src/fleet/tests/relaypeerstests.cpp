// Tests of the choice of the peer to which requests are relayed, and of the directory during partitions.
#include "fleet/relaypeers.h"

#include <catch2/catch.hpp>

#include <set>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

PeerMessage makeMessage(const std::string &name, const std::string &dataCentre)
{
    PeerMessage message;
    message.instance = name;
    message.dataCentre = dataCentre;
    message.incarnation = 1;
    message.sequence = 1;
    message.address = {"10.0.0." + name.substr(1), 7340};
    message.callerAddress = name + ":caller";
    message.relayAddress = name + ":relay";
    message.isReady = true;
    message.configurationVersion = 5;
    return message;
}

PeerTable makeTable()
{
    return {"self", {"10.0.0.99", 7340}, {}};
}

/** Returns the names of the peers that are chosen over many draws. */
std::set<std::string> chosen(const PeerTable &table, const RelayNeeds &needs)
{
    Random random(1);
    std::set<std::string> names;
    for (int i = 0; i < 200; ++i) {
        if (const Peer *peer = chooseRelayPeer(table, needs, start, random)) {
            names.insert(peer->instance);
        }
    }
    return names;
}

} // namespace

TEST_CASE("requests are relayed to peers that can serve them")
{
    PeerTable table = makeTable();
    (void)table.update(makeMessage("p1", "a"), start);
    PeerMessage leaving = makeMessage("p2", "a");
    leaving.isLeaving = true;
    (void)table.update(leaving, start);
    PeerMessage starting = makeMessage("p3", "a");
    starting.isReady = false;
    (void)table.update(starting, start);
    PeerMessage behind = makeMessage("p4", "a");
    behind.configurationVersion = 4;
    (void)table.update(behind, start);
    PeerMessage withoutRelay = makeMessage("p5", "a");
    withoutRelay.relayAddress.clear();
    (void)table.update(withoutRelay, start);
    (void)table.update(makeMessage("p6", "a"), start);
    CHECK(chosen(table, {"a", 5, {}}) == std::set<std::string>{"p1", "p6"});
    CHECK(chosen(table, {"a", 5, {"p1"}}) == std::set<std::string>{"p6"});
    CHECK(chosen(table, {"a", 5, {"p1", "p6"}}).empty());
}

TEST_CASE("peers of the own data centre are preferred unless most of it is partitioned")
{
    PeerTable table = makeTable();
    (void)table.update(makeMessage("p1", "a"), start);
    (void)table.update(makeMessage("p2", "a"), start);
    (void)table.update(makeMessage("p3", "b"), start);
    CHECK(chosen(table, {"a", 5, {}}) == std::set<std::string>{"p1", "p2"});
    PeerMessage partitioned = makeMessage("p1", "a");
    partitioned.sequence = 2;
    partitioned.isPartitioned = true;
    (void)table.update(partitioned, start);
    CHECK(chosen(table, {"a", 5, {}}) == std::set<std::string>{"p2", "p3"});
}

TEST_CASE("the directory names partitioned instances only if there are no others")
{
    const OwnReach partitionedSelf{true, false, true};
    PeerTable table = makeTable();
    PeerMessage partitioned = makeMessage("p1", "a");
    partitioned.isPartitioned = true;
    (void)table.update(partitioned, start);
    CHECK(table.callerAddresses(start, partitionedSelf) == std::vector<std::string>{"p1:caller"});
    CHECK(table.callerAddresses(start, {}).empty());
    (void)table.update(makeMessage("p2", "a"), start);
    CHECK(table.callerAddresses(start, partitionedSelf) == std::vector<std::string>{"p2:caller"});
    // The end of a partition is told by any message.
    PeerMessage increment = makeMessage("p1", "a");
    increment.callerAddress.clear();
    increment.sequence = 2;
    (void)table.update(increment, start);
    CHECK(table.callerAddresses(start, {}) == std::vector<std::string>{"p1:caller", "p2:caller"});
}
