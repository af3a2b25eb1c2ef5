// The membership over real sockets on loopback and the system's clocks.
#include "framework/global/systemclock.h"
#include "membership/membershipcontroller.h"
#include "peerlink/peertransport.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace magnolia;
using namespace magnolia::membership;

namespace
{

const peerlink::PeerKeys keys{{{1, "secret"}}, 1};

/** One instance with its own blackboard. */
struct Node
{
    explicit Node(const std::string &name, const std::string &listenAddress = "127.0.0.1:0")
        : name(name)
    {
        const Incarnation incarnation(static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count()));
        transport = peerlink::makePeerTransport({InstanceId(name), incarnation, listenAddress}, keys, {}, clock);
        REQUIRE(transport->start());
        membership = makeMembership({InstanceId(name), incarnation, transport->boundAddress()}, {}, *transport,
            blackboard, clock, incarnation.count());
        membership->start();
    }
    void take(const PublishedList &list)
    {
        blackboard.publishedList.write(list);
    }
    [[nodiscard]] PeerState seen(const std::string &peer) const
    {
        const auto view = blackboard.membership.read();
        const auto it = view->peers.find(InstanceId(peer));
        return it == view->peers.end() ? PeerState::Dead : it->second.state;
    }

    std::string name;
    SystemClock clock;
    Blackboard blackboard;
    std::unique_ptr<peerlink::IPeerTransport> transport;
    std::unique_ptr<IMembership> membership;
};

PublishedList listOf(const std::vector<Node *> &nodes)
{
    PublishedList list;
    list.revision = 1;
    for (const Node *node : nodes) {
        PublishedInstance instance;
        instance.id = node->name;
        instance.peerAddress = node->transport->boundAddress();
        list.instances.push_back(instance);
    }
    return list;
}

template <typename Condition>
bool eventually(Condition condition, Milliseconds limit = Milliseconds(15000))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

} // namespace

TEST_CASE("three instances over UDP find each other, share, leave, die and come back")
{
    Node a("a");
    Node b("b");
    auto c = std::make_unique<Node>("c");
    const PublishedList list = listOf({&a, &b, c.get()});
    const std::string addressOfC = c->transport->boundAddress();
    for (Node *node : {&a, &b, c.get()}) {
        node->take(list);
    }
    REQUIRE(eventually([&] {
        return a.seen("b") == PeerState::Alive && a.seen("c") == PeerState::Alive && b.seen("a") == PeerState::Alive
            && b.seen("c") == PeerState::Alive && c->seen("a") == PeerState::Alive;
    }));

    std::atomic<std::uint64_t> told = 0;
    b.membership->setSharedValueHandler([&](const std::string &key, const SharedValue &value) {
        if (key == "configuration") {
            told = value.version;
        }
    });
    REQUIRE(a.membership->shareValue("configuration", 12, "hash"));
    CHECK(eventually([&] {
        return told == 12 && c->membership->sharedValue("configuration").has_value();
    }));

    a.membership->reportUpstream(UpstreamId("u1"), true);
    CHECK(eventually([&] {
        return b.blackboard.membership.read()->leavingUpstreams.contains(UpstreamId("u1"));
    }));

    c->membership->announceLeave();
    CHECK(eventually([&] {
        return a.seen("c") == PeerState::Leaving && b.seen("c") == PeerState::Leaving;
    }));
    c.reset();
    CHECK(eventually([&] {
        return a.seen("c") == PeerState::Dead && b.seen("c") == PeerState::Dead;
    }));

    c = std::make_unique<Node>("c", addressOfC);
    c->take(list);
    CHECK(eventually([&] {
        return a.seen("c") == PeerState::Alive && b.seen("c") == PeerState::Alive;
    }));
    CHECK(c->membership->sharedValue("configuration").has_value());
    CHECK(a.transport->counters().forged + a.transport->counters().malformed == 0);
}

TEST_CASE("an instance with another key is not taken in")
{
    Node a("a");
    Node b("b");
    b.transport->setKeys({{{1, "other"}}, 1});
    const PublishedList list = listOf({&a, &b});
    a.take(list);
    b.take(list);
    std::this_thread::sleep_for(Milliseconds(1500));
    CHECK(a.seen("b") == PeerState::Dead);
    CHECK(b.seen("a") == PeerState::Dead);
    CHECK(a.transport->counters().forged > 0);
    b.transport->setKeys(keys);
    CHECK(eventually([&] {
        return a.seen("b") == PeerState::Alive && b.seen("a") == PeerState::Alive;
    }));
}
