// Tests of the detection of dead peers, with all instances of a large fleet on a virtual clock.
#include "fleet/failuredetector.h"
#include "framework/testing/schedule.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

constexpr Milliseconds delay{3};
/** The wait for the store's own answer, and the transfer of a snapshot. */
constexpr Milliseconds fetchTime{250};

/** Instances that know each other, with their heartbeats and probes. */
class ProbingFleet
{
public:
    explicit ProbingFleet(std::size_t size, double loss = 0)
        : m_schedule(5)
        , m_loss(loss)
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_nodes.push_back(std::make_unique<Node>(i));
        }
        for (const auto &it : m_nodes) {
            for (std::size_t i = 0; i < size; ++i) {
                it->table.update(stateOf(i), m_schedule.now());
            }
            m_schedule.after(Milliseconds(m_schedule.random().below(250)), [this, node = it.get()] {
                tick(*node);
            });
            const auto interval = static_cast<std::uint64_t>(it->table.heartbeatInterval().count());
            m_schedule.after(Milliseconds(m_schedule.random().below(interval)), [this, node = it.get()] {
                sendHeartbeats(*node);
            });
        }
    }

    void run(Milliseconds time)
    {
        m_schedule.runUntil(m_schedule.now() + time);
    }

    void setReachable(std::size_t node, bool isReachable)
    {
        m_nodes[node]->isReachable = isReachable;
    }

    /** Number of pairs of reachable instances of which the first does not name the second in directory answers. */
    [[nodiscard]] std::size_t missingPairCount() const
    {
        return pairCount(true, false);
    }
    /** Number of pairs of a reachable and an unreachable instance where the first still returns the address of the
     * second. */
    [[nodiscard]] std::size_t stalePairCount() const
    {
        return pairCount(false, true);
    }
    /** Number of unreachable instances that the directories of reachable ones name, summed over these. */
    [[nodiscard]] std::size_t staleNameCount() const
    {
        std::size_t count = 0;
        for (const auto &it : m_nodes) {
            for (const std::string &name : it->table.callerAddresses(m_schedule.now(), {})) {
                count += it->isReachable && !m_nodes[indexOf(name)]->isReachable ? 1 : 0;
            }
        }
        return count;
    }
    [[nodiscard]] std::size_t suspectedBy(std::size_t node) const
    {
        std::size_t count = 0;
        for (const auto &[name, peer] : m_nodes[node]->table.peers()) {
            count += peer.isSuspected ? 1 : 0;
        }
        return count;
    }
    /** Lets an instance have a new configuration, which it announces. */
    void setConfiguration(std::size_t node, std::uint64_t version)
    {
        Node &it = *m_nodes[node];
        it.version = version;
        it.detector.setPublishedState(version, {0, version}, {});
        constexpr std::size_t announcedTo = 8;
        for (std::size_t i = 0; i < announcedTo; ++i) {
            const std::size_t other = m_schedule.random().below(m_nodes.size());
            send(it, {addressOf(other), it.detector.makeAnnouncement(m_schedule.now(), m_schedule.random())});
        }
    }
    [[nodiscard]] std::size_t countWithConfiguration(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
            return it->version >= version;
        }));
    }
    [[nodiscard]] std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    struct Node
    {
        explicit Node(std::size_t i)
            : index(i)
            , table(nameOf(i), addressOf(i), {})
            , detector(nameOf(i), 1, addressOf(i))
        {
        }

        std::size_t index;
        PeerTable table;
        FailureDetector detector;
        bool isReachable = true;
        std::uint64_t version = 0;
        bool isFetching = false;
    };

    static std::string nameOf(std::size_t i)
    {
        return "front-" + std::to_string(i);
    }
    static std::size_t indexOf(const std::string &name)
    {
        return std::stoul(name.substr(name.find('-') + 1));
    }
    static PeerAddress addressOf(std::size_t i)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
    }
    static PeerMessage stateOf(std::size_t i)
    {
        PeerMessage message;
        message.instance = nameOf(i);
        message.incarnation = 1;
        message.sequence = 1;
        message.address = addressOf(i);
        message.callerAddress = nameOf(i);
        message.isReady = true;
        return message;
    }

    void tick(Node &node)
    {
        for (const auto &it : node.detector.tick(node.table, m_schedule.now(), m_schedule.random())) {
            send(node, it);
        }
        m_schedule.after(node.detector.probeInterval(), [this, &node] {
            tick(node);
        });
    }

    void send(const Node &from, const FailureDetector::Outgoing &outgoing)
    {
        m_sentBytes += peerlink::encode(outgoing.message).size();
        Node &to = *m_nodes[outgoing.address.port - 1000U];
        if (m_schedule.random().chance(m_loss)) {
            return;
        }
        m_schedule.after(delay, [this, &from, &to, message = outgoing.message] {
            if (!from.isReachable || !to.isReachable) {
                return;
            }
            if (const auto ack = to.detector.onMessage(message, to.table, m_schedule.now(), m_schedule.random())) {
                send(to, *ack);
            }
            if (to.detector.takeIsSuspected()) {
                sendFullState(to);
            }
            fetchIfBehind(from, to);
        });
    }

    void fetchIfBehind(const Node &from, Node &to)
    {
        const auto peer = to.table.peers().find(nameOf(from.index));
        if (peer == to.table.peers().end() || peer->second.configurationVersion <= to.version || to.isFetching) {
            return;
        }
        to.isFetching = true;
        m_schedule.after(fetchTime, [this, &to, version = peer->second.configurationVersion] {
            to.isFetching = false;
            setConfiguration(to.index, version);
        });
    }

    void sendHeartbeats(const Node &node)
    {
        sendFullState(node);
        m_schedule.after(node.table.heartbeatInterval(), [this, &node] {
            sendHeartbeats(node);
        });
    }

    void sendFullState(const Node &node)
    {
        for (const auto &it : m_nodes) {
            if (node.isReachable && it->isReachable && !m_schedule.random().chance(m_loss)) {
                ProbeMessage message;
                message.instance = nameOf(node.index);
                message.incarnation = 1;
                it->table.recordProbe(message, m_schedule.now() + delay);
            }
        }
    }

    [[nodiscard]] std::size_t pairCount(bool isOtherReachable, bool isNamed) const
    {
        std::size_t count = 0;
        for (const auto &it : m_nodes) {
            for (const auto &[name, peer] : it->table.peers()) {
                const bool isReachable = m_nodes[peer.address.port - 1000U]->isReachable;
                const bool isLive = !it->table.isSilent(peer, m_schedule.now());
                count += it->isReachable && isReachable == isOtherReachable && isLive == isNamed ? 1 : 0;
            }
        }
        return count;
    }

    testing::Schedule m_schedule;
    double m_loss;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::size_t m_sentBytes = 0;
};

} // namespace

TEST_CASE("all instances of a large fleet know within three seconds that many others have died")
{
    // By their heartbeats, which are 6 s apart at this size, dead instances stayed in directory answers for 19 s.
    ProbingFleet fleet(295);
    fleet.run(Milliseconds(1000));
    CHECK(fleet.missingPairCount() == 0);
    const std::size_t killed = GENERATE(1, 50, 105, 150);
    for (std::size_t i = 0; i < killed; ++i) {
        fleet.setReachable(i, false);
    }
    fleet.run(Milliseconds(3000));
    INFO(killed << " killed");
    CHECK(fleet.stalePairCount() <= (295 - killed) * killed / 100);
    CHECK(fleet.missingPairCount() == 0);
}

TEST_CASE("directories name no lost instance seven seconds after a loss of any number, nor after a second one")
{
    // Guards against the naming of lost peers where too few are left to suspect them.
    const std::size_t size = GENERATE(9, 77, 295);
    const std::size_t left = GENERATE(1, 2, 4);
    constexpr Milliseconds bound{7000};
    ProbingFleet fleet(size);
    fleet.run(Milliseconds(20'000));
    for (std::size_t i = size / 2; i < size; ++i) {
        fleet.setReachable(i, false);
    }
    fleet.run(bound);
    CHECK(fleet.staleNameCount() == 0);
    for (std::size_t i = left; i < size / 2; ++i) {
        fleet.setReachable(i, false);
    }
    fleet.run(bound);
    CHECK(fleet.staleNameCount() == 0);
}

TEST_CASE("directories name no lost instance seven seconds after a loss of nearly all")
{
    const std::size_t size = GENERATE(9, 77, 295);
    const std::size_t left = GENERATE(1, 2, 5);
    ProbingFleet fleet(size, 0.01);
    fleet.run(Milliseconds(20'000));
    for (std::size_t i = left; i < size; ++i) {
        fleet.setReachable(i, false);
    }
    fleet.run(Milliseconds(7000));
    CHECK(fleet.staleNameCount() == 0);
}

TEST_CASE("instances that were cut off are named again soon after they are back")
{
    ProbingFleet fleet(100);
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.setReachable(i, false);
    }
    fleet.run(Milliseconds(5000));
    CHECK(fleet.stalePairCount() == 0);
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.setReachable(i, true);
    }
    fleet.run(Milliseconds(4000));
    CHECK(fleet.missingPairCount() <= 100 * 100 / 100);
}

TEST_CASE("an instance that is cut off suspects nobody and spreads nothing when it is back")
{
    ProbingFleet fleet(100);
    fleet.setReachable(0, false);
    fleet.run(Milliseconds(8000));
    CHECK(fleet.suspectedBy(0) == 0);
    fleet.setReachable(0, true);
    fleet.run(Milliseconds(500));
    for (std::size_t i = 1; i < 100; ++i) {
        CHECK(fleet.suspectedBy(i) <= 1);
    }
}

TEST_CASE("lost datagrams make live instances disappear from directory answers only rarely")
{
    constexpr double loss = 0.025;
    ProbingFleet fleet(100, loss);
    std::size_t missing = 0;
    constexpr int samples = 40;
    for (int i = 0; i < samples; ++i) {
        fleet.run(Milliseconds(500));
        missing += fleet.missingPairCount();
    }
    CHECK(missing <= 100 * 99 * samples / 100);
}

TEST_CASE("the traffic of probes of an instance does not grow with the fleet")
{
    const auto bytesPerInstance = [](std::size_t size) {
        ProbingFleet fleet(size);
        fleet.run(Milliseconds(10'000));
        return fleet.sentBytes() / size;
    };
    const std::size_t few = bytesPerInstance(30);
    const std::size_t many = bytesPerInstance(300);
    CHECK(many <= few * 11 / 10);
    // 10 s at 4 pings and 4 acks a second.
    CHECK(many <= 10'000);
}

TEST_CASE("truncated probes are rejected, and corrupted ones are harmless")
{
    ProbeMessage message;
    message.instance = "front-1";
    message.incarnation = 1;
    message.address = {"10.0.0.1", 1001};
    message.suspicions = {{"front-2", 1, 20}, {"front-3", 1, 30}};
    const std::string bytes = peerlink::encode(message);
    REQUIRE(peerlink::decode<ProbeMessage>(bytes));
    REQUIRE(static_cast<std::uint8_t>(bytes[1]) == ProbeMessage::currentFormat);
    CHECK_FALSE(peerlink::decode<PeerMessage>(bytes));
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK_FALSE(peerlink::decode<ProbeMessage>(bytes.substr(0, n)));
    }
    Random random(13);
    PeerTable table("front-0", {"10.0.0.1", 1000}, {});
    FailureDetector detector("front-0", 1, {"10.0.0.1", 1000});
    constexpr int rounds = 5000;
    for (int i = 0; i < rounds; ++i) {
        std::string mutated = bytes;
        for (int flips = 0; flips < 4; ++flips) {
            mutated[random.below(mutated.size())] = static_cast<char>(random.below(256));
        }
        if (const auto decoded = peerlink::decode<ProbeMessage>(mutated)) {
            static_cast<void>(detector.onMessage(*decoded, table, MonoTime(Milliseconds(1000)), random));
        }
    }
    // Probes alone add no peers.
    CHECK(table.peers().empty());
}

TEST_CASE("a configuration that some instances have read from the store reaches all others within two seconds")
{
    // The store may turn away most instances.
    ProbingFleet fleet(295);
    const std::size_t readerCount = GENERATE(1, 15, 190);
    fleet.run(Milliseconds(1000));
    for (std::size_t i = 0; i < readerCount; ++i) {
        fleet.setConfiguration(i, 7);
    }
    fleet.run(Milliseconds(2000));
    INFO(readerCount << " readers");
    CHECK(fleet.countWithConfiguration(7) == 295);
}
