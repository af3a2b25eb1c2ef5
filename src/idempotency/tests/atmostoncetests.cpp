// At most once under seeded schedules of faults; and the same with each mechanism off, to show that it is needed.
#include "idempotency/tests/fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <optional>

using namespace magnolia;
using namespace magnolia::idempotency;
using namespace magnolia::idempotency::tests;

namespace
{

constexpr std::uint64_t seedCount = 10'000;

FleetCounts requireNoViolation(const FleetOptions &options, std::uint64_t count)
{
    FleetCounts counts;
    testing::forEachSeed(count, [&](std::uint64_t seed) {
        Fleet fleet(seed, options);
        fleet.runRandomly();
        counts += fleet.counts();
        if (!fleet.violations().empty()) {
            INFO("MAGNOLIA_SEED=" << seed);
            INFO(fleet.violations().front());
            REQUIRE(fleet.violations().empty());
        }
    });
    return counts;
}

/** The first seed whose schedule breaks a promise. */
std::optional<std::uint64_t> firstViolation(const FleetOptions &options, std::uint64_t count)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        Fleet fleet(seed, options);
        fleet.runRandomly();
        if (!fleet.violations().empty()) {
            WARN("found with seed " << seed << ": " << fleet.violations().front());
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("no schedule of faults runs a key twice or makes a caller's answer false")
{
    const FleetCounts counts = requireNoViolation({}, seedCount);
    WARN("attempts " << counts.attempts << ", executions " << counts.executions << ", too new " << counts.refusedTooNew
                     << ", relayed " << counts.relayed << ", replayed " << counts.replayed << ", told not_run "
                     << counts.toldNotRun << ", handover parts " << counts.handoverParts);
    if (std::getenv("MAGNOLIA_SEED") != nullptr) {
        return;
    }
    // All the schedules together reach what they are meant to reach; one need not.
    CHECK(counts.executions > 0);
    CHECK(counts.refusedTooNew > 0);
    CHECK(counts.replayed > 0);
    CHECK(counts.handoverParts > 0);
}

TEST_CASE("no violation where handovers arrive quickly and whole")
{
    FleetOptions options;
    options.handoverLink = {0, 0.1, Milliseconds(1), Milliseconds(20)};
    requireNoViolation(options, seedCount);
}

TEST_CASE("no violation where replicas of the platform stamp content that is older than its stamp")
{
    FleetOptions options;
    options.parameters.maxContentLag = Milliseconds(2500);
    options.parameters.maxUnseenTime = Milliseconds(4000);
    requireNoViolation(options, seedCount);
}

TEST_CASE("without handover and restart under the same id, no clock error breaks the promise")
{
    FleetOptions options;
    options.canRestart = false;
    options.handoverLink.loss = 1;
    options.clockError = Seconds(30);
    requireNoViolation(options, seedCount);
}

// The two rules that random schedules hardly ever need are shown in ownershiptests.cpp.
TEST_CASE("each mechanism is needed: without it, a schedule breaks a promise")
{
    FleetOptions options;
    SECTION("hold-off")
    {
        options.parameters.safeguards.enforcesHoldOff = false;
    }
    SECTION("fence")
    {
        options.parameters.safeguards.fencesStaleOwners = false;
    }
    SECTION("second check before the write")
    {
        options.parameters.safeguards.rechecksBeforeWrite = false;
    }
    SECTION("only a whole handover")
    {
        options.parameters.safeguards.requiresCompleteHandover = false;
    }
    CHECK(firstViolation(options, seedCount).has_value());
}
