// Tests of the membership with real loopback sockets and system clocks.
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

/** One instance with its own blackboard and transport. */
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
    void setPublishedList(const PublishedList &list)
    {
        blackboard.publishedList.write(list);
    }
    [[nodiscard]] PeerState observedState(const std::string &peer) const
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

TEST_CASE("three instances over UDP discover each other, share values, and see an instance leave, die and return")
{
    Node a("a");
    Node b("b");
    auto c = std::make_unique<Node>("c");
    const PublishedList list = listOf({&a, &b, c.get()});
    const std::string addressOfC = c->transport->boundAddress();
    for (Node *node : {&a, &b, c.get()}) {
        node->setPublishedList(list);
    }
    REQUIRE(eventually([&] {
        return a.observedState("b") == PeerState::Alive && a.observedState("c") == PeerState::Alive
            && b.observedState("a") == PeerState::Alive && b.observedState("c") == PeerState::Alive
            && c->observedState("a") == PeerState::Alive;
    }));

    std::atomic<std::uint64_t> notifiedVersion = 0;
    b.membership->setSharedValueHandler([&](const std::string &key, const SharedValue &value) {
        if (key == "configuration") {
            notifiedVersion = value.version;
        }
    });
    REQUIRE(a.membership->shareValue("configuration", 12, "hash"));
    CHECK(eventually([&] {
        return notifiedVersion == 12 && c->membership->sharedValue("configuration").has_value();
    }));

    a.membership->reportUpstream(UpstreamId("u1"), true);
    CHECK(eventually([&] {
        return b.blackboard.membership.read()->leavingUpstreams.contains(UpstreamId("u1"));
    }));

    c->membership->announceLeave();
    CHECK(eventually([&] {
        return a.observedState("c") == PeerState::Leaving && b.observedState("c") == PeerState::Leaving;
    }));
    c.reset();
    CHECK(eventually([&] {
        return a.observedState("c") == PeerState::Dead && b.observedState("c") == PeerState::Dead;
    }));

    c = std::make_unique<Node>("c", addressOfC);
    c->setPublishedList(list);
    CHECK(eventually([&] {
        return a.observedState("c") == PeerState::Alive && b.observedState("c") == PeerState::Alive;
    }));
    CHECK(c->membership->sharedValue("configuration").has_value());
    CHECK(a.transport->counters().forged + a.transport->counters().malformed == 0);
}

TEST_CASE("an instance with a different key is not accepted as a member")
{
    Node a("a");
    Node b("b");
    b.transport->setKeys({{{1, "other"}}, 1});
    const PublishedList list = listOf({&a, &b});
    a.setPublishedList(list);
    b.setPublishedList(list);
    std::this_thread::sleep_for(Milliseconds(1500));
    CHECK(a.observedState("b") == PeerState::Dead);
    CHECK(b.observedState("a") == PeerState::Dead);
    CHECK(a.transport->counters().forged > 0);
    b.transport->setKeys(keys);
    CHECK(eventually([&] {
        return a.observedState("b") == PeerState::Alive && b.observedState("a") == PeerState::Alive;
    }));
}
