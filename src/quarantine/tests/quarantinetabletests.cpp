// Checks how quarantines begin, how they end, and that the table stays bounded.
#include "quarantine/quarantinetable.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::quarantine;

namespace
{

constexpr Fingerprint bad{1};
constexpr Fingerprint first{2};
constexpr Fingerprint acme{100};
constexpr Fingerprint other{101};

MonoTime at(std::int64_t ms)
{
    return MonoTime{std::chrono::seconds(10'000)} + Milliseconds(ms);
}

CrashReport report(std::uint64_t crash, std::int64_t endedMs, RequestTraits traits = {{bad, first}, {acme}})
{
    CrashReport it;
    it.id = crash;
    it.run = {crash, 1};
    it.sentAt = at(endedMs - 50);
    it.endedAt = at(endedMs);
    it.traits = std::move(traits);
    return it;
}

/** Puts {bad, first} of acme into quarantine at 200 ms. */
void addCrashes(QuarantineTable &table)
{
    for (int i = 0; i < 3; ++i) {
        REQUIRE(table.addReport(report(static_cast<std::uint64_t>(i + 1), 100 * i), at(100 * i)));
    }
    REQUIRE(table.update(at(250)).added.size() == 1);
}

bool isRefused(QuarantineTable &table, const RequestTraits &traits, std::int64_t ms, bool mayTry = false)
{
    return table
        .refusal(
            traits,
            [mayTry](const QuarantineEntry & /*entry*/) {
                return mayTry;
            },
            at(ms))
        .has_value();
}

const RequestTraits guilty{{bad, first}, {acme}};
constexpr std::int64_t quarantineEnd = 200 + 600'000;

} // namespace

TEST_CASE("only requests with all properties of the crashes are refused")
{
    QuarantineTable table;
    addCrashes(table);
    CHECK(isRefused(table, guilty, 300));
    CHECK(isRefused(table, {{bad, first, Fingerprint{7}}, {acme, Fingerprint{8}}}, 300));
    CHECK_FALSE(isRefused(table, {{first}, {acme}}, 300));
    CHECK_FALSE(isRefused(table, {{bad}, {acme}}, 300));
    CHECK_FALSE(isRefused(table, {{bad, first}, {other}}, 300));
}

TEST_CASE("the success of a request without the culprit narrows the blame to the culprit")
{
    QuarantineTable table;
    addCrashes(table);
    table.recordSuccess({first}, at(300));
    CHECK(isRefused(table, {{bad}, {acme}}, 400));
    CHECK_FALSE(isRefused(table, {{first}, {acme}}, 400));
}

TEST_CASE("a crash of another organisation's request widens the quarantine")
{
    QuarantineTable table;
    addCrashes(table);
    table.addReport(report(4, 400, {{bad, first}, {other}}), at(400));
    CHECK(table.update(at(450)).added.size() == 1);
    CHECK(table.entries().size() == 1);
    CHECK(isRefused(table, {{bad, first}, {Fingerprint{102}}}, 500));
}

TEST_CASE("a request with all properties that succeeds ends the quarantine")
{
    QuarantineTable table;
    addCrashes(table);
    table.recordSuccess({bad, first}, at(300));
    CHECK_FALSE(isRefused(table, guilty, 400));
    CHECK(table.expire(at(400)).size() == 1);
    CHECK(table.update(at(400)).added.empty());
}

TEST_CASE("after a quarantine one request at a time is tried, and a crash doubles the quarantine")
{
    QuarantineTable table;
    addCrashes(table);
    CHECK(isRefused(table, guilty, quarantineEnd - 1, true));
    CHECK(isRefused(table, guilty, quarantineEnd + 1, false));
    CHECK_FALSE(isRefused(table, guilty, quarantineEnd + 1, true));
    CHECK(isRefused(table, guilty, quarantineEnd + 2, true));
    table.addReport(report(5, quarantineEnd + 100), at(quarantineEnd + 100));
    CHECK(isRefused(table, guilty, quarantineEnd + 1'199'000, true));
    CHECK_FALSE(isRefused(table, guilty, quarantineEnd + 1'201'000, true));
}

TEST_CASE("a quarantine whose trial succeeds, or that nobody asks for, is forgotten")
{
    const bool isTried = GENERATE(true, false);
    QuarantineTable table;
    addCrashes(table);
    table.expire(at(quarantineEnd));
    if (isTried) {
        CHECK_FALSE(isRefused(table, guilty, quarantineEnd + 1, true));
        table.recordSuccess(guilty.suspects, at(quarantineEnd + 500));
    }
    CHECK(table.expire(at(quarantineEnd + (isTried ? 600 : 61'000))).size() == 1);
    CHECK(table.entries().empty());
    CHECK(table.reportCount() == 0);
    CHECK_FALSE(isRefused(table, guilty, quarantineEnd + 62'000));
}

TEST_CASE("an instance that has just started takes over quarantines, but none that it has refuted")
{
    QuarantineTable table;
    addCrashes(table);
    QuarantineTable newcomer;
    CHECK(newcomer.adopt(table.entries().front(), at(300)));
    CHECK_FALSE(newcomer.adopt(table.entries().front(), at(300)));
    CHECK(isRefused(newcomer, guilty, 400));
    newcomer.recordSuccess(guilty.suspects, at(500));
    CHECK_FALSE(newcomer.adopt(table.entries().front(), at(600)));
    CHECK_FALSE(isRefused(newcomer, guilty, 700));
}

TEST_CASE("a known report is not counted again")
{
    QuarantineTable table;
    CHECK(table.addReport(report(1, 0), at(0)));
    CHECK_FALSE(table.addReport(report(1, 0), at(10)));
    CHECK(table.reportCount() == 1);
}

TEST_CASE("callers that crash upstreams with ever new properties do not make the table grow")
{
    QuarantineParameters parameters;
    QuarantineTable table(parameters);
    for (std::uint64_t i = 0; i < 3000; ++i) {
        const auto ms = static_cast<std::int64_t>(i * 100);
        table.addReport(report(i, ms, {{Fingerprint{1000 + i / 3}}, {acme}}), at(ms));
        table.update(at(ms + 50));
        table.recordSuccess({Fingerprint{1'000'000 + i}}, at(ms + 60));
    }
    CHECK(table.reportCount() <= parameters.maxReports);
    CHECK(table.entries().size() == parameters.maxEntries);
}

TEST_CASE("a crash is forgotten with all its reports, so that its culprit is not missing among them")
{
    QuarantineParameters parameters;
    parameters.maxReports = 6;
    QuarantineTable table(parameters);
    std::uint64_t id = 0;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        for (int i = 0; i < 3; ++i) {
            CrashReport it = report(crash, static_cast<std::int64_t>(crash) * 100);
            it.id = ++id;
            table.addReport(it, at(1000));
        }
    }
    CHECK(table.reportCount() == 6);
}

TEST_CASE("one crash with very many requests does not displace the others")
{
    const QuarantineParameters parameters;
    QuarantineTable table;
    table.addReport(report(1, 0), at(0));
    for (std::uint64_t i = 0; i < 1000; ++i) {
        CrashReport it = report(2, 100);
        it.id = 100 + i;
        table.addReport(it, at(100));
    }
    CHECK(table.reportCount() == 1 + parameters.maxReportsPerRun);
}

TEST_CASE("what succeeds often stays established beside ever new requests")
{
    QuarantineParameters parameters;
    parameters.maxEstablished = 100;
    QuarantineTable table(parameters);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        const auto ms = static_cast<std::int64_t>(i);
        table.recordSuccess({Fingerprint{1000 + i}}, at(ms));
        if (i % 20 == 0) {
            table.recordSuccess({first}, at(ms));
        }
    }
    CHECK(table.establishedOf({first, bad}, at(10'000)) == std::vector<Fingerprint>{first});
    CHECK(table.establishedOf({first}, at(80'000)).empty());
}
