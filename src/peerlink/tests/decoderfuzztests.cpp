// Fuzz tests of the decoders with fixed seeds: no exception, no excessive allocation, no forged message accepted.
#include "framework/testing/schedule.h"
#include "peerlink/binarycodec.h"
#include "peerlink/envelopecodec.h"
#include "peerlink/testing/allocationmeter.h"
#include "peerlink/testing/mutation.h"

#include <catch2/catch.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <vector>

using namespace magnolia;
using namespace magnolia::peerlink;
using namespace magnolia::peerlink::testing;

namespace
{

constexpr std::size_t maxBytes = 1400;
constexpr std::uint64_t seedCount = 50000;
const PeerKeys keys{{{1, "secret"}}, 1};

struct Nested
{
    std::vector<std::map<std::string, std::vector<std::uint64_t>>> rows;
    std::vector<std::string> names;
    bool flag = true;
    MessageType type = MessageType::LoadRows;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(rows, names, flag, type);
    }
};

Nested sampleNested()
{
    return {{{{"a", {1, 2, 3}}, {"b", {}}}, {}}, {"x", std::string(40, 'y')}, true, MessageType::Membership};
}

Envelope sampleEnvelope()
{
    Envelope envelope;
    envelope.sender = InstanceId("e1");
    envelope.recipient = InstanceId("e2");
    envelope.payload = encode(sampleNested());
    return envelope;
}

} // namespace

TEST_CASE("decoding nested containers neither throws nor allocates more than the bound for its input size")
{
    const std::string valid = encode(sampleNested());
    REQUIRE(decode<Nested>(valid));
    magnolia::testing::forEachSeed(seedCount, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        const std::string bytes = mutated(random, valid);
        resetLargestAllocation();
        const auto result = decode<Nested>(bytes);
        const std::size_t largest = largestAllocation();
        const std::size_t bound = 4096 + bytes.size() * sizeof(std::map<std::string, std::string>);
        REQUIRE(largest <= bound);
        REQUIRE((result || result.error().code == ResultCode::PeerMessageMalformed));
    });
}

TEST_CASE("no mutated message passes authentication")
{
    const std::string valid = *encodeEnvelope(sampleEnvelope(), keys);
    REQUIRE(decodeEnvelope(valid, keys, maxBytes));
    magnolia::testing::forEachSeed(seedCount, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        const std::string bytes = mutated(random, valid);
        if (bytes == valid) {
            return;
        }
        resetLargestAllocation();
        const auto result = decodeEnvelope(bytes, keys, maxBytes);
        REQUIRE(largestAllocation() <= 4 * maxBytes);
        REQUIRE_FALSE(result);
    });
}

TEST_CASE("a mutated envelope with a valid tag, as from a faulty peer, is decoded or refused within the memory bound")
{
    const std::string body = encode(sampleEnvelope());
    magnolia::testing::forEachSeed(seedCount, [&](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        const std::string bytes = mutated(random, body);
        resetLargestAllocation();
        const auto result = decode<Envelope>(bytes);
        REQUIRE(largestAllocation() <= 4096 + bytes.size());
        REQUIRE((result || result.error().code == ResultCode::PeerMessageMalformed));
    });
}

TEST_CASE("a message with trailing bytes is malformed")
{
    CHECK_FALSE(decode<Nested>(encode(sampleNested()) + "x"));
}
