// Fuzz tests of the message decoder and the core, with fixed seeds and iteration counts.
#include "framework/testing/schedule.h"
#include "membership/membershipcore.h"
#include "peerlink/binarycodec.h"
#include "peerlink/testing/mutation.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::testing::forEachSeed;

namespace
{

constexpr std::uint64_t seedCount = 50000;
const ClockReading now{MonoTime(Seconds(100)), WallTime(Milliseconds(1'700'000'000'000))};

MembershipMessage sampleMessage()
{
    MembershipMessage message;
    message.kind = MessageKind::SyncReply;
    message.sequenceNumber = 1;
    message.target = InstanceId("e3");
    message.targetAddress = "10.0.0.3:7000";
    message.senderRecord = {Incarnation(1), 0, MemberStatus::Alive, false, "10.0.0.2:7000"};
    message.memberUpdates.push_back(
        {InstanceId("e1"), {Incarnation(9), 0, MemberStatus::Suspect, false, "10.0.0.1:7000"}});
    message.memberUpdates.push_back({InstanceId("e3"), {Incarnation(9), 2, MemberStatus::Dead, true, "10.0.0.3:7000"}});
    message.sharedUpdates.push_back({"configuration", {7, "hash"}});
    message.upstreamUpdates.push_back({UpstreamId("u1"), {true, 1'700'000'000'000}});
    return message;
}

} // namespace

TEST_CASE("a mutated membership message is rejected or handled, and the state stays within its limits")
{
    const std::string valid = peerlink::encode(sampleMessage());
    REQUIRE(peerlink::decode<MembershipMessage>(valid));
    MembershipParameters parameters;
    parameters.maxMembers = 50;
    parameters.maxUpstreamReports = 20;
    MembershipState state = makeMembershipState(parameters, InstanceId("e1"), Incarnation(9), "10.0.0.1:7000");
    Random tickRandom(1);
    forEachSeed(seedCount, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        const std::string bytes = peerlink::testing::mutated(random, valid);
        const auto message = peerlink::decode<MembershipMessage>(bytes);
        if (!message) {
            REQUIRE(message.error().code == ResultCode::PeerMessageMalformed);
            return;
        }
        (void)step(state, InstanceId("e2"), *message, now);
        (void)tick(state, now, tickRandom);
        REQUIRE(state.members.size() <= parameters.maxMembers);
        REQUIRE_FALSE(state.members.contains(InstanceId("e1")));
        REQUIRE(state.upstreamReports.size() <= parameters.maxUpstreamReports);
        REQUIRE(state.sharedValues.size() <= parameters.maxSharedValues);
        REQUIRE(state.relayedProbes.size() <= parameters.maxRelayedProbes);
    });
}

TEST_CASE("a message that exceeds the limits is ignored")
{
    MembershipState state = makeMembershipState({}, InstanceId("e1"), Incarnation(9), "10.0.0.1:7000");
    const auto isIgnored = [&](const MembershipMessage &message) {
        const MembershipOutput output = step(state, InstanceId("e2"), message, now);
        return output.messages.empty() && output.events.empty() && state.members.empty() && state.sharedValues.empty();
    };
    MembershipMessage message = sampleMessage();
    message.kind = static_cast<MessageKind>(9);
    CHECK(isIgnored(message));
    message = sampleMessage();
    message.memberUpdates[0].record.status = static_cast<MemberStatus>(3);
    CHECK(isIgnored(message));
    message = sampleMessage();
    message.memberUpdates[0].id = InstanceId(std::string(65, 'x'));
    CHECK(isIgnored(message));
    message = sampleMessage();
    message.sharedUpdates[0].value.value = std::string(129, 'x');
    CHECK(isIgnored(message));
    message = sampleMessage();
    message.senderRecord.incarnation = Incarnation();
    CHECK(isIgnored(message));
    CHECK(step(state, InstanceId("e1"), sampleMessage(), now).events.empty());
}

TEST_CASE("composed messages fit into a datagram, regardless of the number of pending updates")
{
    constexpr std::size_t maxPayloadBytes = 1400 - 250;
    MembershipState state = makeMembershipState({}, InstanceId("e1"), Incarnation(9), "10.0.0.1:7000");
    MembershipMessage message = sampleMessage();
    message.senderRecord.peerAddress = std::string(64, 'a');
    message.kind = MessageKind::Gossip;
    for (int i = 0; i < 400; ++i) {
        const std::string id = std::string(60, 'x') + std::to_string(1000 + i);
        message.memberUpdates
            = {{InstanceId(id), {Incarnation(9), 0, MemberStatus::Alive, false, std::string(64, 'a')}}};
        message.upstreamUpdates = {{UpstreamId(id), {true, 1'700'000'000'000}}};
        (void)step(state, InstanceId("e2"), message, now);
    }
    Random random(1);
    std::size_t largestBytes = 0;
    const auto updateLargest = [&](const MembershipOutput &output) {
        for (const OutgoingMessage &outgoing : output.messages) {
            largestBytes = std::max(largestBytes, peerlink::encode(outgoing.message).size());
        }
    };
    for (int i = 0; i < 100; ++i) {
        const ClockReading later{now.monotonic + Milliseconds(100 * i), now.wall + Milliseconds(100 * i)};
        updateLargest(tick(state, later, random));
        for (const MessageKind kind : {MessageKind::Ping, MessageKind::SyncRequest}) {
            message.kind = kind;
            message.sharedDigest = 0;
            updateLargest(step(state, InstanceId("e2"), message, later));
        }
    }
    CHECK(largestBytes > 400);
    CHECK(largestBytes <= maxPayloadBytes);
}
