// Ownership over time in single scenarios that random schedules seldom reach, and that fresh keys do run.
#include "idempotency/tests/fleet.h"
#include "idempotency/uuidv7.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::idempotency;
using namespace magnolia::idempotency::tests;

namespace
{

constexpr WallTime epoch{std::chrono::hours(24 * 20000)};

/** Keeps what is handed over; the test delivers it. */
class KeptHandover : public IHandoverTransport
{
public:
    void send(const InstanceId &, const HandoverPart &part) override
    {
        parts.push_back(part);
    }
    void send(const InstanceId &, const HandoverAck &) override
    {
    }
    void send(const InstanceId &, const HandedOverKey &) override
    {
    }

    std::vector<HandoverPart> parts;
};

PublishedList listOf(std::uint64_t revision, WallTime stamp, const std::vector<std::string> &entries)
{
    PublishedList list;
    list.revision = revision;
    list.generatedAt = stamp;
    for (const std::string &id : entries) {
        PublishedInstance instance;
        instance.id = id;
        list.instances.push_back(instance);
    }
    return list;
}

/** Whether `owner` would dispatch, and does so. */
bool dispatches(KeyController &controller, const KeyedRequest &request, WallTime now)
{
    const BeginDecision decision = controller.begin(request, now);
    const auto *run = std::get_if<RunLocally>(&decision);
    return run != nullptr && controller.confirmDispatch(run->permit, now).has_value();
}

/**
 * The list names a and b in turn, a change each second; each of the two sees only the lists that name itself.
 * Returns how many of them would carry out one and the same key.
 */
int ownersUnderAlternatingList(bool hasUnseenRule)
{
    KeyParameters parameters;
    parameters.safeguards.interruptsAtUnseenRevisions = hasUnseenRule;
    KeptHandover transport;
    KeyController a(InstanceId("a"), Incarnation(1), epoch, parameters, transport);
    KeyController b(InstanceId("b"), Incarnation(1), epoch, parameters, transport);
    WallTime now = epoch;
    for (std::uint64_t revision = 1; revision <= 40; ++revision) {
        now += Seconds(1);
        const bool isOfA = revision % 2 == 0;
        (isOfA ? a : b).applyList(listOf(revision, now, {isOfA ? "a" : "b"}), now);
    }
    Random random(1);
    const KeyedRequest request{{OrganisationId("o"), makeKey(now, random)}, 1, false};
    int owners = 0;
    for (KeyController *it : {&a, &b}) {
        owners += dispatches(*it, request, now) ? 1 : 0;
    }
    return owners;
}

/**
 * b takes over from a, dispatches a key and dies; its next incarnation reads the list from before, then the one
 * after, and is sent a's handover again. Returns whether it dispatches the key once more.
 */
bool dispatchesAgainAfterRestart(bool hasAfterStartRule)
{
    KeyParameters parameters;
    parameters.safeguards.requiresHandoverAfterStart = hasAfterStartRule;
    KeptHandover transport;
    KeyController a(InstanceId("a"), Incarnation(1), epoch, parameters, transport);
    KeyController b(InstanceId("b"), Incarnation(1), epoch, parameters, transport);
    const WallTime change = epoch + Seconds(60);
    const auto before = listOf(1, change - Milliseconds(100), {"a"});
    const auto after = listOf(2, change, {"b"});
    a.applyList(listOf(1, epoch, {"a"}), epoch);
    a.applyList(before, change);
    b.applyList(before, change);
    a.applyList(after, change);
    b.applyList(after, change);
    for (const HandoverPart &part : transport.parts) {
        b.receive(part);
    }
    Random random(1);
    const KeyedRequest request{{OrganisationId("o"), makeKey(change, random)}, 1, false};
    REQUIRE(dispatches(b, request, change));

    const WallTime restart = change + Milliseconds(500);
    KeyController next(InstanceId("b"), Incarnation(2), restart, parameters, transport);
    next.applyList(before, restart);
    next.applyList(after, restart);
    for (const HandoverPart &part : transport.parts) {
        next.receive(part);
    }
    return dispatches(next, request, restart);
}

/** Creates a key and sends it once to each of `entries` every 100 ms for `duration`; the share that ran. */
double shareThatRuns(Fleet &fleet, Milliseconds duration, const std::vector<std::string> &entries)
{
    std::vector<std::size_t> keys;
    for (Milliseconds at{0}; at < duration; at += Milliseconds(100)) {
        keys.push_back(fleet.createKey());
        for (const std::string &entry : entries) {
            fleet.sendAttempt(keys.back(), entry);
        }
        fleet.schedule().runFor(Milliseconds(100));
    }
    fleet.schedule().runFor(Seconds(3));
    double ran = 0;
    for (const std::size_t key : keys) {
        ran += fleet.executions(key);
    }
    return ran / static_cast<double>(keys.size());
}

FleetOptions quiet()
{
    FleetOptions options;
    options.maxFaults = 0;
    options.pauseChance = 0;
    options.connectFailure = 0;
    options.relayLoss = 0;
    options.upstreamRefusal = 0;
    options.handoverLink = {0, 0, Milliseconds(1), Milliseconds(5)};
    return options;
}

} // namespace

TEST_CASE("a list that names two entries in turn, each seeing only its own, makes no two owners")
{
    CHECK(ownersUnderAlternatingList(true) <= 1);
    // The rule is what prevents it.
    CHECK(ownersUnderAlternatingList(false) == 2);
}

TEST_CASE("a handover that an earlier incarnation of this instance acted on does not count")
{
    CHECK_FALSE(dispatchesAgainAfterRestart(true));
    CHECK(dispatchesAgainAfterRestart(false));
}

TEST_CASE("handovers survive their encoding, and one with a state that is none is not taken in")
{
    Random random(1);
    HandoverPart part;
    part.name = {InstanceId("a"), Incarnation(1), InstanceId("b"), 7};
    part.count = 1;
    const KeyName name{OrganisationId("o"), makeKey(epoch, random)};
    part.keys.push_back({name, KeyState::Ran, 3, StoredAnswer{201, "text/plain", "done"}});
    const auto decoded = peerlink::decode<HandoverPart>(peerlink::encode(part));
    REQUIRE(decoded);
    CHECK(decoded->name == part.name);
    CHECK(decoded->keys.at(0).name == name);
    CHECK(decoded->keys.at(0).answer == part.keys.at(0).answer);

    KeptHandover transport;
    KeyController controller(InstanceId("b"), Incarnation(1), epoch, {}, transport);
    part.keys.at(0).state = static_cast<KeyState>(77);
    controller.receive(part);
    CHECK(controller.table().size() == 0);
    controller.receive(*decoded);
    CHECK(controller.table().find(name)->state == KeyState::Ran);
}

TEST_CASE("without faults every fresh key runs once its owner has been one for the hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, quiet());
        fleet.schedule().runFor(Seconds(20));
        REQUIRE(shareThatRuns(fleet, Seconds(5), {"a", "b", "c"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a planned leave with a whole handover fresh keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, quiet());
        fleet.schedule().runFor(Seconds(20));
        fleet.publish({"a", "b"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(shareThatRuns(fleet, Seconds(4), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a planned leave that the list learns late, fresh keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, quiet());
        fleet.schedule().runFor(Seconds(20));
        fleet.stopOwning("c");
        fleet.schedule().runFor(Seconds(1));
        fleet.kill("c");
        fleet.schedule().runFor(Seconds(1));
        fleet.publish({"a", "b"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(shareThatRuns(fleet, Seconds(2), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a join with whole handovers from all others fresh keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, quiet());
        fleet.schedule().runFor(Seconds(20));
        fleet.start("d");
        fleet.schedule().runFor(Seconds(4));
        fleet.publish({"a", "b", "c", "d"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(shareThatRuns(fleet, Seconds(4), {"a", "b", "c", "d"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a crash the keys of the dead owner wait for the hold-off, and only for that")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, quiet());
        fleet.schedule().runFor(Seconds(20));
        fleet.kill("c");
        fleet.publish({"a", "b"});
        const double during = shareThatRuns(fleet, Seconds(3), {"a", "b"});
        REQUIRE(during < 1);
        REQUIRE(during > 0.3);
        fleet.schedule().runFor(KeyParameters().holdOff());
        REQUIRE(shareThatRuns(fleet, Seconds(3), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}
