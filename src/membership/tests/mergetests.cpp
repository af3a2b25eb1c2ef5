// Tests that merge results do not depend on the order, grouping or repetition of the merges.
#include "framework/testing/schedule.h"
#include "membership/internal/merge.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::testing::forEachSeed;

namespace
{

constexpr Milliseconds returnMargin{5};

MemberRecord randomRecord(Random &random)
{
    MemberRecord record;
    record.incarnation = Incarnation(random.below(3));
    record.refutationNumber = static_cast<std::uint32_t>(random.below(3));
    record.status = static_cast<MemberStatus>(random.below(3));
    record.isLeaving = random.chance(0.3);
    record.peerAddress = random.chance(0.5) ? "a:1" : "b:1";
    return record;
}

UpstreamReport randomReport(Random &random)
{
    return {random.chance(0.5), static_cast<std::int64_t>(random.below(12))};
}

SharedValue randomShared(Random &random)
{
    return {random.below(4), random.chance(0.5) ? "a" : "b"};
}

template <typename T, typename Merge>
void checkMergeProperties(const T &a, const T &b, const T &c, Merge merge)
{
    const auto merged = [&](T left, const T &right) {
        merge(left, right);
        return left;
    };
    REQUIRE(merged(a, a) == a);
    REQUIRE(merged(a, b) == merged(b, a));
    REQUIRE(merged(merged(a, b), c) == merged(a, merged(b, c)));
    REQUIRE(merged(merged(a, b), b) == merged(a, b));
    T known = a;
    const bool isChanged = merge(known, b);
    REQUIRE(isChanged == !(known == a));
}

} // namespace

TEST_CASE("the merge functions are commutative, associative and idempotent")
{
    forEachSeed(20000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        checkMergeProperties(randomRecord(random), randomRecord(random), randomRecord(random), mergeRecord);
        checkMergeProperties(randomShared(random), randomShared(random), randomShared(random), mergeShared);
        checkMergeProperties(randomReport(random), randomReport(random), randomReport(random),
            [](UpstreamReport &known, const UpstreamReport &received) {
                return mergeReport(known, received, returnMargin);
            });
    });
}

TEST_CASE("the leaving flag is never cleared within an incarnation, and a new incarnation does not inherit it")
{
    forEachSeed(20000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        MemberRecord known = randomRecord(random);
        known.isLeaving = true;
        const Incarnation before = known.incarnation;
        const MemberRecord received = randomRecord(random);
        mergeRecord(known, received);
        REQUIRE((known.isLeaving || known.incarnation > before));
        if (received.incarnation > before) {
            REQUIRE(known.isLeaving == received.isLeaving);
        }
    });
}
