// The board's queues: parts before own prompts, and what has been read by the time of a question.
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

/** One token takes one millisecond to read. */
PlacementTable makeBoard()
{
    return PlacementTable([](const Placement &it) {
        return it.promptTokens / static_cast<double>(it.helpers.size() + 1);
    });
}

Placement makePlacement(PlacementId id, UpstreamKey primary, double tokens, std::vector<UpstreamKey> helpers = {})
{
    Placement made;
    made.id = id;
    made.primary = primary;
    made.helpers = std::move(helpers);
    made.promptTokens = tokens;
    made.outputTokens = 10;
    made.firstEventTarget = Milliseconds(1000);
    made.placedAt = start;
    return made;
}

} // namespace

TEST_CASE("prompts of one engine are read one after the other")
{
    PlacementTable board = makeBoard();
    board.put("a", makePlacement(1, 7, 400), at(0));
    board.put("b", makePlacement(2, 7, 300), at(0));
    CHECK(board.loads(at(0)).at(7).backlogMs == Approx(700));
    CHECK(board.loads(at(200)).at(7).backlogMs == Approx(500));
    board.setDecoding(1, at(400));
    CHECK(board.loads(at(500)).at(7).backlogMs == Approx(200));
    CHECK(board.loads(at(500)).at(7).decodingRequests.size() == 1);
}

TEST_CASE("a part that is read for another engine goes before the engine's own prompts")
{
    PlacementTable board = makeBoard();
    board.put("a", makePlacement(1, 7, 1000), at(0));
    Placement group = makePlacement(2, 8, 600, {7});
    group.placedAt = at(100);
    board.put("a", group, at(100));
    const auto loads = board.loads(at(100));
    CHECK(loads.at(7).helperBacklogMs == Approx(300));
    CHECK(loads.at(7).backlogMs == Approx(1200));
    CHECK(loads.at(7).helperPrefills == 1);
    // Due at 1000 after its placing, read at 1300: late by the part that went before it.
    CHECK(loads.at(7).pendingPrefills.front().slackMs == Approx(-300));
    CHECK(board.loads(at(400)).at(7).helperBacklogMs == Approx(0));
    CHECK(board.loads(at(400)).at(7).backlogMs == Approx(900));
}

TEST_CASE("a prompt whose first event is overdue still counts for a little")
{
    PlacementTable board = makeBoard();
    board.put("a", makePlacement(1, 7, 400), at(0));
    CHECK(board.loads(at(5000)).at(7).backlogMs == Approx(20));
}

TEST_CASE("memory is counted where it is held")
{
    PlacementTable board = makeBoard();
    Placement group = makePlacement(1, 7, 900, {8, 9});
    group.ticketTokens = 300;
    board.put("a", group, at(0));
    auto loads = board.loads(at(0));
    CHECK(loads.at(7).usedKvTokens == Approx(310));
    CHECK(loads.at(8).usedKvTokens == Approx(300));
    board.remove(1, at(0));
    CHECK(board.loads(at(0)).empty());
}

TEST_CASE("a whole message replaces what its sender told before, and nothing of others")
{
    PlacementTable board = makeBoard();
    board.put("a", makePlacement(1, 7, 100), at(0));
    board.put("a", makePlacement(2, 7, 100), at(0));
    board.put("b", makePlacement(3, 7, 100), at(0));
    board.replaceAll("a", {makePlacement(2, 7, 100), makePlacement(4, 8, 100)}, at(0));
    CHECK(board.find(1) == nullptr);
    CHECK(board.find(2) != nullptr);
    CHECK(board.find(3) != nullptr);
    CHECK(board.find(4) != nullptr);
    board.removeOwner("a", at(0));
    CHECK(board.size() == 1);
    CHECK(board.loads(at(0)).at(7).requests == 1);
}

TEST_CASE("what is told late counts as read in part")
{
    PlacementTable board = makeBoard();
    board.put("a", makePlacement(1, 7, 1000), at(600));
    CHECK(board.loads(at(600)).at(7).backlogMs == Approx(400));
}
