// Ownership in scenarios that random schedules seldom reach, and the availability of new keys.
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

/** Records the handover parts, which the test delivers itself. */
class RecordingTransport : public IHandoverTransport
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

PublishedList listOf(std::uint64_t revision, WallTime stamp, const std::vector<std::string> &instances)
{
    PublishedList list;
    list.revision = revision;
    list.generatedAt = stamp;
    for (const std::string &id : instances) {
        PublishedInstance item;
        item.id = id;
        list.instances.push_back(item);
    }
    return list;
}

/** Dispatches the request if `controller` allows it, and returns whether it did. */
bool tryDispatch(KeyController &controller, const KeyedRequest &request, WallTime now)
{
    const BeginDecision decision = controller.begin(request, now);
    const auto *run = std::get_if<RunLocally>(&decision);
    return run != nullptr && controller.confirmDispatch(run->permit, now).has_value();
}

/**
 * The list alternates between a and b each second, and each of the two sees only the lists that name itself.
 * Returns how many of them dispatch the same key.
 */
int ownerCountWithAlternatingLists(bool interruptsAtUnseenRevisions)
{
    KeyParameters parameters;
    parameters.safeguards.interruptsAtUnseenRevisions = interruptsAtUnseenRevisions;
    RecordingTransport transport;
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
        owners += tryDispatch(*it, request, now) ? 1 : 0;
    }
    return owners;
}

/**
 * b becomes the owner in place of a, dispatches a key and crashes. Its next incarnation reads the list before the
 * change, then the one after it, and receives a's handover again. Returns whether it dispatches the key again.
 */
bool isDispatchedAgainAfterRestart(bool requiresHandoverAfterStart)
{
    KeyParameters parameters;
    parameters.safeguards.requiresHandoverAfterStart = requiresHandoverAfterStart;
    RecordingTransport transport;
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
    REQUIRE(tryDispatch(b, request, change));

    const WallTime restart = change + Milliseconds(500);
    KeyController next(InstanceId("b"), Incarnation(2), restart, parameters, transport);
    next.applyList(before, restart);
    next.applyList(after, restart);
    for (const HandoverPart &part : transport.parts) {
        next.receive(part);
    }
    return tryDispatch(next, request, restart);
}

/** Creates a key every 100 ms for `duration` and sends it once to each of `instances`; returns the executed share. */
double executedShare(Fleet &fleet, Milliseconds duration, const std::vector<std::string> &instances)
{
    std::vector<std::size_t> keys;
    for (Milliseconds at{0}; at < duration; at += Milliseconds(100)) {
        keys.push_back(fleet.createKey());
        for (const std::string &instance : instances) {
            fleet.sendAttempt(keys.back(), instance);
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

FleetOptions optionsWithoutFaults()
{
    FleetOptions options;
    options.maxFaults = 0;
    options.pauseChance = 0;
    options.connectFailureChance = 0;
    options.relayLossChance = 0;
    options.upstreamRefusalChance = 0;
    options.handoverLink = {0, 0, Milliseconds(1), Milliseconds(5)};
    return options;
}

} // namespace

TEST_CASE("lists that alternate between two instances, each of which sees only its own, give at most one owner")
{
    CHECK(ownerCountWithAlternatingLists(true) <= 1);
    // Without the safeguard both own the key.
    CHECK(ownerCountWithAlternatingLists(false) == 2);
}

TEST_CASE("a handover copied before the start of this process does not count")
{
    CHECK_FALSE(isDispatchedAgainAfterRestart(true));
    CHECK(isDispatchedAgainAfterRestart(false));
}

TEST_CASE("a handover is unchanged by encoding, and one with an invalid state is rejected")
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

    RecordingTransport transport;
    KeyController controller(InstanceId("b"), Incarnation(1), epoch, {}, transport);
    part.keys.at(0).state = static_cast<KeyState>(77);
    controller.receive(part);
    CHECK(controller.table().size() == 0);
    controller.receive(*decoded);
    CHECK(controller.table().find(name)->state == KeyState::Ran);
}

TEST_CASE("without faults every new key runs when its owner has owned it for the hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, optionsWithoutFaults());
        fleet.schedule().runFor(Seconds(20));
        REQUIRE(executedShare(fleet, Seconds(5), {"a", "b", "c"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a planned leave with a complete handover new keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, optionsWithoutFaults());
        fleet.schedule().runFor(Seconds(20));
        fleet.publish({"a", "b"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(executedShare(fleet, Seconds(4), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a planned leave that the list shows late new keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, optionsWithoutFaults());
        fleet.schedule().runFor(Seconds(20));
        fleet.stopOwning("c");
        fleet.schedule().runFor(Seconds(1));
        fleet.kill("c");
        fleet.schedule().runFor(Seconds(1));
        fleet.publish({"a", "b"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(executedShare(fleet, Seconds(2), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a join with complete handovers from all others new keys run without a hold-off")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, optionsWithoutFaults());
        fleet.schedule().runFor(Seconds(20));
        fleet.start("d");
        fleet.schedule().runFor(Seconds(4));
        fleet.publish({"a", "b", "c", "d"});
        fleet.schedule().runFor(Milliseconds(1200));
        REQUIRE(executedShare(fleet, Seconds(4), {"a", "b", "c", "d"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}

TEST_CASE("after a crash the keys of the crashed owner, and only those, are refused until the hold-off ends")
{
    testing::forEachSeed(100, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Fleet fleet(seed, optionsWithoutFaults());
        fleet.schedule().runFor(Seconds(20));
        fleet.kill("c");
        fleet.publish({"a", "b"});
        const double during = executedShare(fleet, Seconds(3), {"a", "b"});
        REQUIRE(during < 1);
        REQUIRE(during > 0.3);
        fleet.schedule().runFor(KeyParameters().holdOff());
        REQUIRE(executedShare(fleet, Seconds(3), {"a", "b"}) == 1);
        REQUIRE(fleet.violations().empty());
    });
}
