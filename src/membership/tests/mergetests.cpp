// The joins of what instances know do not depend on order, grouping or repetition.
#include "framework/testing/schedule.h"
#include "membership/internal/merge.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::membership;
using magnolia::testing::forEachSeed;

namespace
{

constexpr Milliseconds margin{5};

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
void checkJoin(const T &a, const T &b, const T &c, Merge merge)
{
    const auto joined = [&](T left, const T &right) {
        merge(left, right);
        return left;
    };
    REQUIRE(joined(a, a) == a);
    REQUIRE(joined(a, b) == joined(b, a));
    REQUIRE(joined(joined(a, b), c) == joined(a, joined(b, c)));
    REQUIRE(joined(joined(a, b), b) == joined(a, b));
    T known = a;
    const bool isChanged = merge(known, b);
    REQUIRE(isChanged == !(known == a));
}

} // namespace

TEST_CASE("joins are commutative, associative and idempotent")
{
    forEachSeed(20000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        checkJoin(randomRecord(random), randomRecord(random), randomRecord(random), mergeRecord);
        checkJoin(randomShared(random), randomShared(random), randomShared(random), mergeShared);
        checkJoin(randomReport(random), randomReport(random), randomReport(random),
            [](UpstreamReport &known, const UpstreamReport &heard) {
                return mergeReport(known, heard, margin);
            });
    });
}

TEST_CASE("within an incarnation leaving is never taken back, and a new incarnation stays")
{
    forEachSeed(20000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        Random random(seed);
        MemberRecord known = randomRecord(random);
        known.isLeaving = true;
        const Incarnation before = known.incarnation;
        const MemberRecord heard = randomRecord(random);
        mergeRecord(known, heard);
        REQUIRE((known.isLeaving || known.incarnation > before));
        if (heard.incarnation > before) {
            REQUIRE(known.isLeaving == heard.isLeaving);
        }
    });
}
