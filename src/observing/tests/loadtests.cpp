// Tests of load estimates, load rows for peers, the table of own requests and the assignment of observers.
#include "framework/testing/schedule.h"
#include "observing/loadmerge.h"
#include "observing/observerassignment.h"
#include "observing/ownwork.h"

#include <catch2/catch.hpp>
#include <cereal/archives/binary.hpp>

#include <set>
#include <sstream>

using namespace magnolia;
using namespace magnolia::observing;

namespace
{

const UpstreamRates rates{.shortPrefillTokensPerSecond = 10'000, .longPrefillTokensPerSecond = 10'000};
constexpr double meanPrompt = 3000;

UpstreamLoad reportOf(std::uint64_t queued, MonoTime at)
{
    return {
        .running = 2, .waiting = 3, .queuedPrefill = Tokens(queued), .freeMemory = Tokens(100'000), .measuredAt = at};
}

} // namespace

TEST_CASE("a load estimate adds own requests sent after the report and no earlier ones")
{
    const MonoTime now{Seconds(10)};
    const UpstreamLoad report = reportOf(5000, now - Milliseconds(100));
    OwnWorkTable table;
    const UpstreamId engine("e");
    onDispatched(
        table, engine, {RequestId("old"), now - Milliseconds(300), Tokens(2000), Tokens(2100), {}, false, false});
    onDispatched(
        table, engine, {RequestId("new"), now - Milliseconds(50), Tokens(4000), Tokens(4100), {}, false, false});
    const LoadEstimate estimate = estimateLoad({&report, &table.upstreams.at(engine), Tokens(400'000), {}}, rates,
        {.meanQueuedPrefill = 4000}, meanPrompt, now);
    CHECK(estimate.totalPrefill.count() == Approx(8000).margin(100));
    CHECK(estimate.freeMemory == Tokens(95'900));
    CHECK(estimate.reportAge == Milliseconds(100));
}

TEST_CASE("the estimate from an old report approaches the fleet's mean")
{
    const MonoTime now{Seconds(10)};
    const UpstreamLoad fresh = reportOf(9000, now);
    const UpstreamLoad old = reportOf(0, now - Seconds(8));
    const FleetLoad fleet{.meanQueuedPrefill = 9000};
    const auto freshEstimate = estimateLoad({&fresh, nullptr, Tokens(400'000), {}}, rates, fleet, meanPrompt, now);
    const auto oldEstimate = estimateLoad({&old, nullptr, Tokens(400'000), {}}, rates, fleet, meanPrompt, now);
    CHECK(freshEstimate.totalPrefill == Tokens(9000));
    CHECK(oldEstimate.totalPrefill.count() > 8500);
}

TEST_CASE("without a report the estimate uses the fleet's mean")
{
    const MonoTime now{Seconds(10)};
    const auto estimate
        = estimateLoad({nullptr, nullptr, Tokens(400'000), {}}, rates, {.meanQueuedPrefill = 2000}, meanPrompt, now);
    CHECK_FALSE(estimate.hasReport);
    CHECK(estimate.totalPrefill == Tokens(2000));
    CHECK(estimate.freeMemory == Tokens(400'000));
}

TEST_CASE("the prefill of a queued long prompt does not count as ahead of a short prompt")
{
    const MonoTime now{Seconds(10)};
    const UpstreamLoad report = reportOf(300'000, now);
    const auto estimate = estimateLoad({&report, nullptr, Tokens(400'000), {}}, rates, {}, meanPrompt, now);
    CHECK(estimate.shortPrefill.count() <= 4 * meanPrompt);
    CHECK(estimate.totalPrefill == Tokens(300'000));
    CHECK(estimate.longPrefillCount == 1);
}

TEST_CASE("an own request can end twice, and an upstream without requests is removed from the table")
{
    OwnWorkTable table;
    const UpstreamId engine("e");
    onDispatched(table, engine, {RequestId("a"), MonoTime{}, Tokens(10), Tokens(20), {}, true, false});
    onFirstToken(table, engine, RequestId("a"));
    CHECK(ownWorkAt(table, engine).inFlight == 1);
    CHECK(ownWorkAt(table, engine).longInFlight == 1);
    CHECK(ownWorkAt(table, engine).pendingPrefill == Tokens(0));
    onEnded(table, engine, RequestId("a"));
    onEnded(table, engine, RequestId("a"));
    CHECK(table.upstreams.empty());
}

TEST_CASE("a serialised load row reads back unchanged and never understates the load")
{
    const MonoTime now{Seconds(10)};
    const UpstreamId engine("e");
    const LoadRow row = quantise(engine, reportOf(5000, now - Milliseconds(123)), now);
    std::stringstream buf;
    {
        cereal::BinaryOutputArchive archive(buf);
        archive(row);
    }
    CHECK(buf.str().size() == 14);
    LoadRow read;
    cereal::BinaryInputArchive archive(buf);
    archive(read);
    CHECK(read == row);
    const UpstreamLoad load = dequantise(read, now);
    CHECK(load.queuedPrefill >= Tokens(5000));
    CHECK(load.freeMemory <= Tokens(100'000));
    CHECK(load.measuredAt <= now - Milliseconds(123));
}

TEST_CASE("a row from a peer neither replaces a newer measurement nor adds an unlisted upstream")
{
    const MonoTime now{Seconds(10)};
    const UpstreamId engine("e");
    LoadTable table;
    table.upstreams[engine] = reportOf(7000, now - Milliseconds(50));
    const std::vector<LoadRow> rows{quantise(engine, reportOf(1000, now - Milliseconds(400)), now),
        quantise(UpstreamId("unknown"), reportOf(1000, now), now)};
    const std::vector<UpstreamId> known{engine};
    mergeLoadRows(table, rows, known, now);
    CHECK(table.upstreams.size() == 1);
    CHECK(table.upstreams.at(engine).queuedPrefill == Tokens(7000));
}

TEST_CASE("each upstream has one observer, and the loss of an entry reassigns only its upstreams")
{
    std::vector<std::string> entries;
    std::vector<UpstreamId> upstreams;
    for (int i = 0; i < 9; ++i) {
        entries.push_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < 300; ++i) {
        upstreams.emplace_back("engine-" + std::to_string(i));
    }
    std::set<UpstreamId> seen;
    for (const std::string &entry : entries) {
        for (const UpstreamId &it : upstreamsToObserve(InstanceId(entry), entries, upstreams)) {
            CHECK(seen.insert(it).second);
        }
    }
    CHECK(seen.size() == upstreams.size());
    const std::vector<std::string> fewer(entries.begin(), entries.end() - 1);
    const auto before = upstreamsToObserve(InstanceId("entry-0"), entries, upstreams);
    const auto after = upstreamsToObserve(InstanceId("entry-0"), fewer, upstreams);
    for (const UpstreamId &it : before) {
        CHECK(std::find(after.begin(), after.end(), it) != after.end());
    }
}
