// At-most-once dispatch under seeded schedules of faults, and with each safeguard off, to show that it is needed.
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

/** Returns the first seed whose schedule violates a guarantee. */
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

TEST_CASE("random faults neither run a request twice nor make an outcome told to a caller false")
{
    const FleetCounts counts = requireNoViolation({}, seedCount);
    WARN("attempts " << counts.attempts << ", executions " << counts.executions << ", too new " << counts.refusedTooNew
                     << ", relayed " << counts.relayed << ", replayed " << counts.replayed << ", told not_run "
                     << counts.reportedNotRun << ", handover parts " << counts.handoverParts);
    if (std::getenv("MAGNOLIA_SEED") != nullptr) {
        return;
    }
    // All schedules together must reach these cases; a single one need not.
    CHECK(counts.executions > 0);
    CHECK(counts.refusedTooNew > 0);
    CHECK(counts.replayed > 0);
    CHECK(counts.handoverParts > 0);
}

TEST_CASE("no violation with quick and complete handovers")
{
    FleetOptions options;
    options.handoverLink = {0, 0.1, Milliseconds(1), Milliseconds(20)};
    requireNoViolation(options, seedCount);
}

TEST_CASE("no violation with platform replicas whose lists are older than their generatedAt")
{
    FleetOptions options;
    options.parameters.maxContentLag = Milliseconds(2500);
    options.parameters.maxUnseenTime = Milliseconds(4000);
    requireNoViolation(options, seedCount);
}

TEST_CASE("no violation with clock errors above the bound, without handovers and restarts under the same id")
{
    FleetOptions options;
    options.canRestart = false;
    options.handoverLink.lossProbability = 1;
    options.maxClockError = Seconds(30);
    requireNoViolation(options, seedCount);
}

// ownershiptests.cpp covers the two safeguards that random schedules hardly ever need.
TEST_CASE("without any one of these safeguards some schedule violates a guarantee")
{
    FleetOptions options;
    SECTION("hold-off")
    {
        options.parameters.safeguards.enforcesHoldOff = false;
    }
    SECTION("fencing of stale owners")
    {
        options.parameters.safeguards.fencesStaleOwners = false;
    }
    SECTION("recheck before the write")
    {
        options.parameters.safeguards.rechecksBeforeWrite = false;
    }
    SECTION("complete handover required")
    {
        options.parameters.safeguards.requiresCompleteHandover = false;
    }
    CHECK(firstViolation(options, seedCount).has_value());
}
