// Tests of the controller with real threads, and of the selection of live peers.
#include "configuration/configurationcontroller.h"
#include "configuration/livepeers.h"
#include "configuration/peerlinkpeers.h"
#include "framework/global/systemclock.h"
#include "peerlink/peertransport.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>

using namespace magnolia;
using namespace magnolia::configuration;

namespace
{

/** Hand-written fake: Catch counts each call of a mock as an assertion, which is not thread-safe. */
class FakeService : public ports::IConfigurationService
{
public:
    using Watch = std::function<Result<std::optional<ConfigurationSnapshot>>(Revision, Milliseconds)>;

    explicit FakeService(Watch watch)
        : m_watch(std::move(watch))
    {
    }
    [[nodiscard]] std::size_t replicaCount() const override
    {
        return 1;
    }
    [[nodiscard]] Result<ConfigurationSnapshot> read(std::size_t /*first*/) override
    {
        return makeError(ResultCode::Internal, "the controller must only call watch");
    }
    [[nodiscard]] Result<std::optional<ConfigurationSnapshot>> watch(
        Revision after, Milliseconds wait, std::size_t /*first*/) override
    {
        return m_watch(after, wait);
    }

private:
    Watch m_watch;
};

/** No peer is reachable. */
class NoPeers : public IConfigurationPeers
{
public:
    void send(const InstanceId & /*to*/, const ConfigurationMessage & /*message*/) override
    {
    }
    [[nodiscard]] Result<SnapshotAnswer> fetch(
        const InstanceId & /*from*/, const SnapshotRequest & /*request*/, Milliseconds /*timeout*/) override
    {
        return makeError(ResultCode::PeerUnreachable, "no peers");
    }
};

ConfigurationSnapshot snapshotOf(std::uint64_t revision, const std::string &models = "[\"m\"]")
{
    return {Revision(revision), {{"classes", "[]"}, {"organisations", "[]"}, {"models", models}}};
}

PublishedInstance entry(const std::string &id, const std::string &peerAddress)
{
    PublishedInstance instance;
    instance.id = id;
    instance.dataCentre = DataCentreId("dc");
    instance.peerAddress = peerAddress;
    return instance;
}

template <typename Condition>
bool eventually(Condition condition)
{
    for (int i = 0; i < 800; ++i) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

/** Answers a watch call as a service at `revision` would; fails if `revision` is zero. */
Result<std::optional<ConfigurationSnapshot>> answerWatch(
    std::uint64_t revision, Revision after, Milliseconds wait, const std::string &models = "[\"m\"]")
{
    if (revision == 0) {
        return makeError(ResultCode::PlatformUnavailable, "down");
    }
    if (Revision(revision) > after) {
        return std::optional(snapshotOf(revision, models));
    }
    std::this_thread::sleep_for(std::min(wait, Milliseconds(50)));
    return std::optional<ConfigurationSnapshot>();
}

} // namespace

TEST_CASE("a valid revision is written to the blackboard and an invalid one is not")
{
    Blackboard blackboard;
    blackboard.publishedList.write({1, WallTime(), MonoTime(), {entry("a", "127.0.0.1:1")}});
    const SystemClock clock;
    NoPeers peers;
    std::atomic<std::uint64_t> revision = 5;
    // Revision 6 is invalid.
    FakeService service([&revision](Revision after, Milliseconds wait) {
        const std::uint64_t offered = revision;
        return answerWatch(offered, after, wait, offered == 6 ? "[" : "[\"m\"]");
    });
    ConfigurationController controller(
        blackboard, service, peers, clock, {InstanceId("a"), DataCentreId("dc"), 1}, {}, 1);
    CHECK_FALSE(controller.isReady());
    controller.start();
    CHECK(eventually([&] {
        return controller.isReady();
    }));
    CHECK(blackboard.configuration.read()->revision == Revision(5));
    revision = 6;
    CHECK(eventually([&] {
        return controller.status().rejected == Revision(6);
    }));
    CHECK(blackboard.configuration.read()->revision == Revision(5));
    CHECK(controller.isReady());
    revision = 7;
    CHECK(eventually([&] {
        return blackboard.configuration.read()->revision == Revision(7);
    }));
    const ConfigurationStatus status = controller.status();
    CHECK(status.rejections == 1);
    CHECK(status.rejected == Revision());
    CHECK(status.isWatcher);
    CHECK(status.hasActiveWatcher);
    controller.stop();
}

TEST_CASE("an instance that cannot reach the service gets the configuration from a peer over the link")
{
    const SystemClock clock;
    const peerlink::PeerKeys keys{{{1, "a secret of the test"}}, 1};
    struct Instance
    {
        Instance(const char *id, const peerlink::PeerKeys &keys, const SystemClock &clock)
            : transport(peerlink::makePeerTransport({InstanceId(id), Incarnation(1), "127.0.0.1:0"}, keys, {}, clock))
            , peers(makePeerlinkPeers(blackboard, *transport))
        {
            REQUIRE(transport->start());
        }
        Blackboard blackboard;
        std::unique_ptr<peerlink::IPeerTransport> transport;
        std::unique_ptr<IConfigurationPeers> peers;
    };
    Instance a("a", keys, clock);
    Instance b("b", keys, clock);
    const PublishedList list{
        1, WallTime(), MonoTime(), {entry("a", a.transport->boundAddress()), entry("b", b.transport->boundAddress())}};
    a.blackboard.publishedList.write(list);
    b.blackboard.publishedList.write(list);

    std::atomic<std::uint64_t> revision = 3;
    FakeService reachableService([&revision](Revision after, Milliseconds wait) {
        return answerWatch(revision, after, wait);
    });
    FakeService unreachableService([](Revision after, Milliseconds wait) {
        return answerWatch(0, after, wait);
    });
    ConfigurationController controllerA(
        a.blackboard, reachableService, *a.peers, clock, {InstanceId("a"), DataCentreId("dc"), 1}, {}, 1);
    ConfigurationController controllerB(
        b.blackboard, unreachableService, *b.peers, clock, {InstanceId("b"), DataCentreId("dc"), 1}, {}, 2);
    connectToPeerlink(*a.transport, controllerA);
    connectToPeerlink(*b.transport, controllerB);
    controllerA.start();
    controllerB.start();
    CHECK(eventually([&] {
        return controllerA.isReady() && controllerB.isReady();
    }));
    CHECK(b.blackboard.configuration.read()->revision == Revision(3));
    revision = 4;
    CHECK(eventually([&] {
        return b.blackboard.configuration.read()->revision == Revision(4);
    }));
    CHECK(controllerB.status().serviceFailures > 0);
    controllerA.stop();
    controllerB.stop();
    disconnectFromPeerlink(*a.transport);
    disconnectFromPeerlink(*b.transport);
    a.transport->stop();
    b.transport->stop();
}

TEST_CASE("live peers are the published entries not known to be dead, and the members not yet published")
{
    PublishedList list{1, WallTime(), MonoTime(), {entry("a", ""), entry("b", ""), entry("c", "")}};
    list.instances.push_back(entry("worker", ""));
    list.instances.back().role = InstanceRole::Engine;
    MembershipView membership;
    membership.peers[InstanceId("b")].state = PeerState::Dead;
    membership.peers[InstanceId("b")].incarnation = Incarnation(5);
    membership.peers[InstanceId("c")].state = PeerState::Leaving;
    membership.peers[InstanceId("d")].state = PeerState::Suspect;
    membership.peers[InstanceId("e")].state = PeerState::Dead;
    membership.peers[InstanceId("e")].incarnation = Incarnation(5);
    const std::vector<PeerInfo> expected{{InstanceId("c"), DataCentreId("dc")}, {InstanceId("d"), DataCentreId()}};
    CHECK(livePeers(list, membership, InstanceId("a")) == expected);
}

TEST_CASE(
    "a published instance that never answered is a live peer, although membership considers it dead until it answers")
{
    const PublishedList list{1, WallTime(), MonoTime(), {entry("a", ""), entry("b", "")}};
    MembershipView membership;
    membership.peers[InstanceId("b")].state = PeerState::Dead;
    const std::vector<PeerInfo> expected{{InstanceId("b"), DataCentreId("dc")}};
    CHECK(livePeers(list, membership, InstanceId("a")) == expected);
}
