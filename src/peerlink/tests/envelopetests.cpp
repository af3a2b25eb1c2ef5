// Authentication of messages between instances, and key rollover.
#include "peerlink/envelopecodec.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::peerlink;

namespace
{

constexpr std::size_t maxBytes = 1400;
const PeerKeys oldKey{{{1, "old secret"}}, 1};
const PeerKeys bothSendOld{{{1, "old secret"}, {2, "new secret"}}, 1};
const PeerKeys bothSendNew{{{1, "old secret"}, {2, "new secret"}}, 2};
const PeerKeys newKey{{{2, "new secret"}}, 2};

Envelope sample()
{
    Envelope envelope;
    envelope.type = MessageType::LoadRows;
    envelope.sender = InstanceId("e1");
    envelope.senderIncarnation = Incarnation(1700000000000);
    envelope.recipient = InstanceId("e2");
    envelope.sequence = 7;
    envelope.inReplyTo = 3;
    envelope.sentAtMs = 1700000000123;
    envelope.resultCode = 6001;
    envelope.payload = std::string("binary\0payload", 14);
    return envelope;
}

} // namespace

TEST_CASE("a decoded envelope equals the encoded one")
{
    const auto bytes = encodeEnvelope(sample(), oldKey);
    REQUIRE(bytes);
    const auto envelope = decodeEnvelope(*bytes, oldKey, maxBytes);
    REQUIRE(envelope);
    CHECK(envelope->type == MessageType::LoadRows);
    CHECK(envelope->sender == InstanceId("e1"));
    CHECK(envelope->senderIncarnation == Incarnation(1700000000000));
    CHECK(envelope->recipient == InstanceId("e2"));
    CHECK(envelope->sequence == 7);
    CHECK(envelope->inReplyTo == 3);
    CHECK(envelope->sentAtMs == 1700000000123);
    CHECK(envelope->resultCode == 6001);
    CHECK(envelope->payload == sample().payload);
}

TEST_CASE("messages are accepted between adjacent steps of a key rollover")
{
    const PeerKeys steps[] = {oldKey, bothSendOld, bothSendNew, newKey};
    for (std::size_t i = 0; i + 1 < std::size(steps); ++i) {
        INFO("step " << i);
        CHECK(decodeEnvelope(*encodeEnvelope(sample(), steps[i]), steps[i + 1], maxBytes));
        CHECK(decodeEnvelope(*encodeEnvelope(sample(), steps[i + 1]), steps[i], maxBytes));
    }
}

TEST_CASE("a message with a removed key is refused as unknown key")
{
    const auto result = decodeEnvelope(*encodeEnvelope(sample(), oldKey), newKey, maxBytes);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::PeerUnknownKey);
}

TEST_CASE("a message with a known key id and another secret is forged")
{
    const PeerKeys attacker{{{1, "guessed"}}, 1};
    const auto result = decodeEnvelope(*encodeEnvelope(sample(), attacker), oldKey, maxBytes);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::PeerMessageForged);
}

TEST_CASE("a message whose key id was changed is forged")
{
    const PeerKeys sameSecretTwice{{{1, "old secret"}, {2, "old secret"}}, 1};
    std::string bytes = *encodeEnvelope(sample(), sameSecretTwice);
    bytes[4] = 2;
    const auto result = decodeEnvelope(bytes, sameSecretTwice, maxBytes);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::PeerMessageForged);
}

TEST_CASE("an empty secret neither encodes nor decodes")
{
    const PeerKeys empty{{{1, ""}}, 1};
    CHECK(encodeEnvelope(sample(), empty).error().code == ResultCode::PeerUnknownKey);
    CHECK(decodeEnvelope(*encodeEnvelope(sample(), oldKey), empty, maxBytes).error().code
        == ResultCode::PeerMessageForged);
}

TEST_CASE("encoding without a secret for the send key fails")
{
    const PeerKeys noSendKey{{{1, "old secret"}}, 9};
    CHECK(encodeEnvelope(sample(), noSendKey).error().code == ResultCode::PeerUnknownKey);
}

TEST_CASE("input that is too long or too short is malformed")
{
    CHECK(decodeEnvelope("", oldKey, maxBytes).error().code == ResultCode::PeerMessageMalformed);
    CHECK(
        decodeEnvelope(*encodeEnvelope(sample(), oldKey), oldKey, 50).error().code == ResultCode::PeerMessageMalformed);
    CHECK(decodeEnvelope(std::string(envelopeOverheadBytes, '\1'), oldKey, maxBytes).error().code
        == ResultCode::PeerMessageMalformed);
}
