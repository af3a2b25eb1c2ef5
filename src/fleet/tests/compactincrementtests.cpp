// Tests of the compact form of increments.
#include "fleet/compactincrement.h"
#include "framework/global/hashing.h"
#include "framework/global/random.h"
#include "framework/testing/fuzzing.h"
#include "peerlink/binarycodec.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::fleet;

namespace
{

PeerMessage makeIncrement()
{
    PeerMessage message;
    message.instance = "front-data-centre-a-17";
    message.incarnation = 1'796'400'000'123;
    message.sequence = 70'000;
    message.isReady = true;
    message.configurationVersion = 231;
    message.storePosition = {1, 90'000};
    return message;
}

PeerMessage makePlacementIncrement()
{
    PeerMessage message = makeIncrement();
    PlacementRecord record;
    record.id = 0xfedcba9876543210;
    record.primary = 0x0123456789abcdef;
    record.helpers = {7, 0xffffffffffffffff};
    record.promptTokens = 900'000;
    record.outputTokens = 1285;
    record.gapTargetMs = 250;
    record.firstEventLimitMs = 8000;
    record.ageMs = UINT32_MAX;
    record.isLate = true;
    record.reservedTokensPerHelper = 300'000;
    message.placements = {record};
    message.decoding = {record.id, 5};
    message.ends = {{3, 4, 2}, {PlacementEnd::noPlacement, 9, PlacementEnd::noOutcome}};
    return message;
}

} // namespace

TEST_CASE("a compact increment carries the same content as the base format")
{
    for (const PeerMessage &message : {makeIncrement(), makePlacementIncrement()}) {
        const auto bytes = encodeCompactIncrement(message);
        REQUIRE(bytes);
        auto increment = decodeCompactIncrement(*bytes);
        REQUIRE(increment);
        CHECK(increment->senderHash == stableHash(message.instance));
        increment->message.instance = message.instance;
        // The base format compares all fields.
        CHECK(peerlink::encode(increment->message) == peerlink::encode(message));
    }
}

TEST_CASE("content that has no place in a compact increment is not lost silently")
{
    PeerMessage message = makeIncrement();
    message.leaving.push_back({1, 2});
    CHECK_FALSE(encodeCompactIncrement(message));
    message = makeIncrement();
    message.limits.push_back({1, 2, true, 3});
    CHECK_FALSE(encodeCompactIncrement(message));
    message = makeIncrement();
    message.crashes.emplace_back();
    CHECK_FALSE(encodeCompactIncrement(message));
    message = makeIncrement();
    message.succeeded.push_back(1);
    CHECK_FALSE(encodeCompactIncrement(message));
    message = makeIncrement();
    message.isFullState = true;
    CHECK_FALSE(encodeCompactIncrement(message));
    message = makeIncrement();
    message.callerAddress = "10.0.0.1:80";
    CHECK_FALSE(encodeCompactIncrement(message));
}

TEST_CASE("a compact increment takes less than half of the bytes of the base format")
{
    PeerMessage placement = makeIncrement();
    placement.placements.push_back({11, 12, {}, 4960, 1285, 250, 250, 0, false, false, 0});
    PeerMessage end = makeIncrement();
    end.ends.push_back({11, 12, 0});
    for (const PeerMessage &message : {placement, end}) {
        CHECK(encodeCompactIncrement(message)->size() * 2 < peerlink::encode(message).size());
    }
}

TEST_CASE("truncated, extended and oversized compact increments are rejected")
{
    const std::string bytes = *encodeCompactIncrement(makePlacementIncrement());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeCompactIncrement(std::string_view(bytes).substr(0, size)));
    }
    CHECK_FALSE(decodeCompactIncrement(bytes + '\0'));
    CHECK_FALSE(decodeCompactIncrement(peerlink::encode(makePlacementIncrement())));
    // A list that claims more elements than the datagram has bytes, and an integer of more than 64 bits.
    std::string oversized = *encodeCompactIncrement(makeIncrement());
    oversized.replace(oversized.size() - 3, 3, "\xff\xff\xff\x7f");
    CHECK_FALSE(decodeCompactIncrement(oversized));
    oversized.replace(oversized.size() - 4, 4, std::string(11, '\xff'));
    CHECK_FALSE(decodeCompactIncrement(oversized));
}

TEST_CASE("fuzz: a mutated compact increment is rejected or decoded within its size")
{
    const std::string bytes = *encodeCompactIncrement(makePlacementIncrement());
    Random random(23);
    for (int i = testing::fuzzRounds(); i > 0; --i) {
        const std::string input = testing::mutated(bytes, random);
        const auto increment = decodeCompactIncrement(input);
        if (increment) {
            CHECK(increment->message.placements.size() + increment->message.ends.size() <= input.size());
        }
    }
}
