// Tests of the prefill queues: order of helper parts and own prompts, and predicted progress over time.
#include "placement/placementtable.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

MonoTime at(int ms)
{
    return start + Milliseconds(ms);
}

/** Prefill takes one millisecond per token. */
PlacementTable makeTable()
{
    return PlacementTable([](const Placement &it) {
        return it.promptTokens / static_cast<double>(it.helpers.size() + 1);
    });
}

Placement makePlacement(PlacementId id, UpstreamKey primary, double tokens, std::vector<UpstreamKey> helpers = {})
{
    Placement placement;
    placement.id = id;
    placement.primary = primary;
    placement.helpers = std::move(helpers);
    placement.promptTokens = tokens;
    placement.outputTokens = 10;
    placement.firstEventLimit = Milliseconds(1000);
    placement.placedAt = start;
    return placement;
}

} // namespace

TEST_CASE("an engine prefills its own prompts one after another")
{
    PlacementTable table = makeTable();
    table.put("a", makePlacement(1, 7, 400), at(0));
    table.put("b", makePlacement(2, 7, 300), at(0));
    CHECK(table.loads(at(0)).at(7).backlogMs == Approx(700));
    CHECK(table.loads(at(200)).at(7).backlogMs == Approx(500));
    table.setDecoding(1, at(400));
    CHECK(table.loads(at(500)).at(7).backlogMs == Approx(200));
    CHECK(table.loads(at(500)).at(7).decodingRequests.size() == 1);
}

TEST_CASE("a helper part is prefilled before the engine's own prompts")
{
    PlacementTable table = makeTable();
    table.put("a", makePlacement(1, 7, 1000), at(0));
    Placement splitPlacement = makePlacement(2, 8, 600, {7});
    splitPlacement.placedAt = at(100);
    table.put("a", splitPlacement, at(100));
    const auto loads = table.loads(at(100));
    CHECK(loads.at(7).helperBacklogMs == Approx(300));
    CHECK(loads.at(7).backlogMs == Approx(1200));
    CHECK(loads.at(7).helperPrefills == 1);
    // Due 1000 ms after its placement but prefilled after 1300 ms, because of the part ahead of it.
    CHECK(loads.at(7).pendingPrefills.front().slackMs == Approx(-300));
    CHECK(table.loads(at(400)).at(7).helperBacklogMs == Approx(0));
    CHECK(table.loads(at(400)).at(7).backlogMs == Approx(900));
}

TEST_CASE("an overdue prompt keeps a small share of its prefill time in the backlog")
{
    PlacementTable table = makeTable();
    table.put("a", makePlacement(1, 7, 400), at(0));
    CHECK(table.loads(at(5000)).at(7).backlogMs == Approx(20));
}

TEST_CASE("KV cache tokens are counted on the engines that hold them, and freed by remove")
{
    PlacementTable table = makeTable();
    Placement splitPlacement = makePlacement(1, 7, 900, {8, 9});
    splitPlacement.reservedTokensPerHelper = 300;
    table.put("a", splitPlacement, at(0));
    auto loads = table.loads(at(0));
    CHECK(loads.at(7).usedKvTokens == Approx(310));
    CHECK(loads.at(8).usedKvTokens == Approx(300));
    table.remove(1, at(0));
    CHECK(table.loads(at(0)).empty());
}

TEST_CASE("replaceAll and removeOwner change only the placements of the given owner")
{
    PlacementTable table = makeTable();
    table.put("a", makePlacement(1, 7, 100), at(0));
    table.put("a", makePlacement(2, 7, 100), at(0));
    table.put("b", makePlacement(3, 7, 100), at(0));
    table.replaceAll("a", {makePlacement(2, 7, 100), makePlacement(4, 8, 100)}, at(0));
    CHECK(table.find(1) == nullptr);
    CHECK(table.find(2) != nullptr);
    CHECK(table.find(3) != nullptr);
    CHECK(table.find(4) != nullptr);
    table.removeOwner("a", at(0));
    CHECK(table.size() == 1);
    CHECK(table.loads(at(0)).at(7).requests == 1);
}

TEST_CASE("a placement reported late counts as partly prefilled")
{
    PlacementTable table = makeTable();
    table.put("a", makePlacement(1, 7, 1000), at(600));
    CHECK(table.loads(at(600)).at(7).backlogMs == Approx(400));
}
