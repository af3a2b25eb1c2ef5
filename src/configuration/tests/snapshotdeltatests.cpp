// Tests of deltas between snapshots: their size, their result, and errors if they do not apply.
#include "configuration/snapshotdelta.h"
#include "framework/global/random.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::configuration;

namespace
{

ConfigurationSnapshot randomSnapshot(Random &random, std::uint64_t revision)
{
    ConfigurationSnapshot snapshot{Revision(revision), {}};
    const std::uint64_t keys = random.below(5);
    for (std::uint64_t i = 0; i < keys; ++i) {
        std::string value;
        const std::uint64_t length = random.below(20);
        for (std::uint64_t k = 0; k < length; ++k) {
            value += static_cast<char>('a' + random.below(2));
        }
        snapshot.values["key" + std::to_string(random.below(6))] = value;
    }
    return snapshot;
}

} // namespace

TEST_CASE("a delta applied to its base results in the target")
{
    Random random(7);
    for (int i = 0; i < 20'000; ++i) {
        const ConfigurationSnapshot base = randomSnapshot(random, 1);
        const ConfigurationSnapshot target = randomSnapshot(random, 2);
        const auto result = applyDelta(base, makeDelta(base, target, snapshotDigest(target)));
        REQUIRE(result);
        REQUIRE(result->revision == target.revision);
        REQUIRE(result->values == target.values);
    }
}

TEST_CASE("a change of one organisation among many results in a small delta")
{
    ConfigurationSnapshot base{Revision(1), {}};
    std::string &value = base.values["organisations"];
    for (int i = 0; i < 1'300; ++i) {
        value += R"({"name":"organisation-)" + std::to_string(i) + "\"},\n";
    }
    ConfigurationSnapshot target{Revision(2), base.values};
    target.values["organisations"].replace(20'000, 4, "NEW!");
    const SnapshotAnswer answer = makeDelta(base, target, snapshotDigest(target));
    REQUIRE(answer.edits.size() == 1);
    CHECK(answer.edits[0].middle.size() <= 4);
    CHECK(applyDelta(base, answer)->values == target.values);
}

TEST_CASE("a delta with a different base, a wrong digest or an edit that does not apply is rejected")
{
    const ConfigurationSnapshot base{Revision(1), {{"a", "one"}}};
    const ConfigurationSnapshot target{Revision(2), {{"a", "two"}}};
    const SnapshotAnswer good = makeDelta(base, target, snapshotDigest(target));
    SnapshotAnswer answer = good;
    answer.base = Revision(9);
    CHECK(applyDelta(base, answer).error().code == ResultCode::PeerMessageMalformed);
    answer = good;
    answer.digest += 1;
    CHECK(applyDelta(base, answer).error().code == ResultCode::PeerMessageMalformed);
    answer = good;
    answer.edits[0].prefixBytes = 100;
    CHECK(applyDelta(base, answer).error().code == ResultCode::PeerMessageMalformed);
    answer = good;
    answer.edits[0].prefixBytes = ~std::uint64_t{0};
    answer.edits[0].suffixBytes = 2;
    CHECK(applyDelta(base, answer).error().code == ResultCode::PeerMessageMalformed);
    answer = good;
    answer.edits.push_back({"absent", true, 0, 0, {}});
    CHECK(applyDelta(base, answer).error().code == ResultCode::PeerMessageMalformed);
}
