// Tests of the order in which engines admit waiting requests.
#include "placement/enginepriority.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

catalogue::Route makeStream(int priority, Milliseconds latencyTarget, Milliseconds timeout)
{
    catalogue::Route route;
    route.kind = catalogue::RouteKind::Stream;
    route.priority = priority;
    route.latencyTarget = latencyTarget;
    route.timeout = timeout;
    return route;
}

} // namespace

TEST_CASE("the scale has the ranks of streams and organisations, and the longest time that a caller waits")
{
    catalogue::Catalogue catalogue;
    catalogue::Route plain = makeStream(7, Milliseconds(100'000), Milliseconds(100'000));
    plain.kind = catalogue::RouteKind::Idempotent;
    catalogue.routesByHost["h"] = {makeStream(2, Milliseconds(300), Milliseconds(10'000)),
        makeStream(1, Milliseconds(4000), Milliseconds(15'000)), plain};
    catalogue.organisationByApiKey["key"] = {OrganisationId("acme"), 0, {}};
    const UrgencyScale scale = urgencyScale(catalogue);
    CHECK(scale.ranks == std::vector<int>{0, 1, 2});
    CHECK(scale.longestWait == Milliseconds(15'000));
}

TEST_CASE("no request of a less urgent rank is admitted before one of a more urgent rank, whatever their slack is")
{
    const UrgencyScale scale{{0, 1, 2, 5}, Milliseconds(15'000)};
    for (std::size_t i = 0; i + 1 < scale.ranks.size(); ++i) {
        CHECK(enginePriority(scale, scale.ranks[i], Milliseconds(15'000))
            < enginePriority(scale, scale.ranks[i + 1], Milliseconds(0)));
    }
}

TEST_CASE("among requests of one rank those with less slack are admitted first")
{
    const UrgencyScale scale{{5}, Milliseconds(15'000)};
    int previous = -1;
    for (int slackMs = -1000; slackMs <= 16'000; slackMs += 250) {
        const int priority = enginePriority(scale, 5, Milliseconds(slackMs));
        CHECK(priority >= std::max(previous, 0));
        CHECK(priority <= maxEnginePriority);
        previous = priority;
    }
    CHECK(previous == maxEnginePriority);
    CHECK(enginePriority(scale, 5, Milliseconds(0)) == 0);
}

TEST_CASE("any number of ranks and ranks that no route has get a priority of the protocol")
{
    UrgencyScale scale;
    CHECK(enginePriority(scale, 3, Milliseconds(500)) <= maxEnginePriority);
    scale.longestWait = Milliseconds(10'000);
    for (int rank = 0; rank < 30; rank += 2) {
        scale.ranks.push_back(rank);
    }
    int previous = 0;
    for (int rank = -1; rank < 40; ++rank) {
        const int priority = enginePriority(scale, rank, Milliseconds(5000));
        CHECK(priority >= previous);
        CHECK(priority <= maxEnginePriority);
        previous = priority;
    }
}
