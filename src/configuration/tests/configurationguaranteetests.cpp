// Checks with seeded fault schedules that a published change is applied everywhere within 5 s and never reverted.
// configurationmechanismtests.cpp shows that the same schedules find violations when a mechanism is disabled.
#include "configuration/tests/configurationfaults.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace magnolia;
using namespace magnolia::testing;

namespace
{

constexpr std::uint64_t seedsPerPart = 2'500;

std::string join(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

/** Runs one part of the 10,000 seeds, or only the seed in MAGNOLIA_SEED if that is set. */
void checkPart(std::uint64_t part)
{
    const std::uint64_t first = part * seedsPerPart;
    forEachSeed(seedsPerPart, [first](std::uint64_t seed) {
        const std::uint64_t actualSeed = std::getenv("MAGNOLIA_SEED") != nullptr ? seed : first + seed;
        INFO("MAGNOLIA_SEED=" << actualSeed);
        const auto violations = runFaultSchedule(actualSeed, FleetShape());
        INFO(join(violations));
        CHECK(violations.empty());
    });
}

} // namespace

TEST_CASE("a change is applied everywhere within 5 s and never reverted under faults: seeds 1 to 2500")
{
    checkPart(0);
}

TEST_CASE("a change is applied everywhere within 5 s and never reverted under faults: seeds 2501 to 5000")
{
    checkPart(1);
}

TEST_CASE("a change is applied everywhere within 5 s and never reverted under faults: seeds 5001 to 7500")
{
    checkPart(2);
}

TEST_CASE("a change is applied everywhere within 5 s and never reverted under faults: seeds 7501 to 10000")
{
    checkPart(3);
}
