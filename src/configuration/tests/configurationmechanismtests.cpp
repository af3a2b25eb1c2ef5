// Disables each mechanism in turn and checks that the fault schedules then find the violation that it prevents.
#include "configuration/tests/configurationfaults.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::testing;

namespace
{

constexpr std::uint64_t maxSeeds = 5'000;

struct Finding
{
    std::uint64_t seed = 0;
    std::string violation;
};

/** Returns the first seed with a violation whose description contains `text`. */
Finding findViolation(const FleetShape &shape, const std::string &text)
{
    for (std::uint64_t seed = 1; seed <= maxSeeds; ++seed) {
        for (const std::string &violation : runFaultSchedule(seed, shape)) {
            if (violation.find(text) != std::string::npos) {
                return {seed, violation};
            }
        }
    }
    return {};
}

void checkViolationFound(const FleetShape &shape, const std::string &text)
{
    const Finding finding = findViolation(shape, text);
    INFO("no violation in " << maxSeeds << " seeds");
    CHECK(finding.seed != 0);
    WARN("MAGNOLIA_SEED=" << finding.seed << ": " << finding.violation);
}

} // namespace

TEST_CASE("without the rejection of lower revisions an instance reverts")
{
    FleetShape shape;
    shape.parameters.rejectsLowerRevisions = false;
    checkViolationFound(shape, " went from revision ");
}

TEST_CASE("without the memory of rejections an invalid revision is fetched repeatedly")
{
    FleetShape shape;
    shape.parameters.remembersRejections = false;
    checkViolationFound(shape, " fetched and rejected revision ");
}

TEST_CASE("without a catch-up a starting instance becomes ready with a lower revision than its peers")
{
    FleetShape shape;
    shape.parameters.runsCatchUp = false;
    checkViolationFound(shape, " became ready with revision ");
}

TEST_CASE("without the detection of pauses a resumed instance becomes ready with a lower revision than its peers")
{
    FleetShape shape;
    shape.parameters.detectsPauses = false;
    checkViolationFound(shape, " became ready with revision ");
}

TEST_CASE("without fallback watchers a change is late when the watchers lose the service")
{
    FleetShape shape;
    shape.parameters.allowsFallbackWatchers = false;
    checkViolationFound(shape, " 5 s after ");
}

TEST_CASE("without rotation over replicas a stale replica delays a change")
{
    FleetShape shape;
    shape.parameters.rotatesReplicas = false;
    checkViolationFound(shape, " 5 s after ");
}

TEST_CASE("without exchanges a change is late when announcements are lost")
{
    FleetShape shape;
    shape.parameters.runsExchanges = false;
    checkViolationFound(shape, " 5 s after ");
}

TEST_CASE("without announcements a change is late, since random exchanges need several rounds")
{
    FleetShape shape;
    shape.entriesPerDataCentre = 12;
    shape.parameters.sendsAnnouncements = false;
    checkViolationFound(shape, " 5 s after ");
}
