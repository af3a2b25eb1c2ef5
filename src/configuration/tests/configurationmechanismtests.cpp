// Each mechanism of the promise switched off: the same schedules then find the violation that it prevents.
#include "configuration/tests/configurationfaults.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::testing;

namespace
{

constexpr std::uint64_t mostSeeds = 5'000;

struct Finding
{
    std::uint64_t seed = 0;
    std::string violation;
};

/** The first seed with a violation that speaks of `part`. */
Finding findViolation(const FleetShape &shape, const std::string &part)
{
    for (std::uint64_t seed = 1; seed <= mostSeeds; ++seed) {
        for (const std::string &violation : runFaultSchedule(seed, shape)) {
            if (violation.find(part) != std::string::npos) {
                return {seed, violation};
            }
        }
    }
    return {};
}

void checkFound(const FleetShape &shape, const std::string &part)
{
    const Finding finding = findViolation(shape, part);
    INFO("no violation in " << mostSeeds << " seeds");
    CHECK(finding.seed != 0);
    WARN("MAGNOLIA_SEED=" << finding.seed << ": " << finding.violation);
}

} // namespace

TEST_CASE("without the refusal of lower revisions an instance reverts")
{
    FleetShape shape;
    shape.parameters.rejectsLowerRevisions = false;
    checkFound(shape, " went from revision ");
}

TEST_CASE("without memory of refusals an invalid revision is fetched again and again")
{
    FleetShape shape;
    shape.parameters.remembersRejections = false;
    checkFound(shape, " fetched and refused revision ");
}

TEST_CASE("without a roll call an instance that starts serves with less than its peers")
{
    FleetShape shape;
    shape.parameters.runsCatchUp = false;
    checkFound(shape, " became ready with revision ");
}

TEST_CASE("without notice of pauses an instance that wakes serves with less than its peers")
{
    FleetShape shape;
    shape.parameters.detectsPauses = false;
    checkFound(shape, " became ready with revision ");
}

TEST_CASE("without volunteers a change is late where the watchers lose the service")
{
    FleetShape shape;
    shape.parameters.allowsFallbackWatchers = false;
    checkFound(shape, " 5 s after ");
}

TEST_CASE("without rotation over replicas a change is late behind a stale replica")
{
    FleetShape shape;
    shape.parameters.rotatesReplicas = false;
    checkFound(shape, " 5 s after ");
}

TEST_CASE("without exchanges a change is late where announcements are lost")
{
    FleetShape shape;
    shape.parameters.runsExchanges = false;
    checkFound(shape, " 5 s after ");
}

TEST_CASE("without announcements a change is late, since exchanges at random take several rounds")
{
    FleetShape shape;
    shape.entriesPerDataCentre = 12;
    shape.parameters.sendsAnnouncements = false;
    checkFound(shape, " 5 s after ");
}
