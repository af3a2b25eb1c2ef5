// Checks who is blamed for series of crashes, and who is not.
#include "quarantine/findculprits.h"

#include <catch2/catch.hpp>

using namespace magnolia;
using namespace magnolia::quarantine;

namespace
{

using Successes = std::unordered_map<Fingerprint, MonoTime>;

constexpr Fingerprint bad{1};
constexpr Fingerprint first{2};
constexpr Fingerprint rare{3};
constexpr Fingerprint acme{100};
constexpr Fingerprint other{101};

MonoTime at(int ms)
{
    return MonoTime{std::chrono::seconds(100)} + Milliseconds(ms);
}

/** A request that was sent 50 ms before its upstream crashed. */
CrashReport report(int crash, int endedMs, std::vector<Fingerprint> suspects, std::vector<Fingerprint> context = {acme})
{
    static std::uint64_t lastId = 0;
    CrashReport it;
    it.id = ++lastId;
    it.run = {static_cast<std::uint64_t>(crash), 1};
    it.sentAt = at(endedMs - 50);
    it.endedAt = at(endedMs);
    it.traits = {std::move(suspects), std::move(context)};
    normalise(it.traits);
    return it;
}

} // namespace

TEST_CASE("a property that all of three successive crashes have in common is blamed")
{
    const std::vector<CrashReport> reports{
        report(1, 0, {bad, first}), report(2, 100, {bad, first}), report(3, 200, {bad, first}), report(3, 200, {rare})};
    const auto culprits = findCulprits(reports, {});
    REQUIRE(culprits.size() == 1);
    CHECK(culprits[0].traits.suspects == std::vector<Fingerprint>{bad, first});
    CHECK(culprits[0].traits.context == std::vector<Fingerprint>{acme});
    CHECK(culprits[0].runs.size() == 3);
}

TEST_CASE("two crashes blame nobody")
{
    CHECK(findCulprits(std::vector<CrashReport>{report(1, 0, {bad}), report(2, 100, {bad})}, {}).empty());
}

TEST_CASE("several reports of one run are one crash")
{
    const std::vector<CrashReport> reports{
        report(1, 0, {bad}), report(1, 60, {bad}), report(1, 120, {bad}), report(2, 200, {bad})};
    CHECK(findCulprits(reports, {}).empty());
}

TEST_CASE("upstreams that end at the same moment count once, however many requests of a kind they had")
{
    std::vector<CrashReport> reports;
    for (int i = 0; i < 10; ++i) {
        reports.push_back(report(i, 0, {first}));
    }
    CHECK(findCulprits(reports, {}).empty());
    reports.push_back(report(20, 100, {first}));
    reports.push_back(report(21, 200, {first}));
    CHECK_FALSE(findCulprits(reports, {}).empty());
}

TEST_CASE("a success clears a property of the crashes before it")
{
    const std::vector<CrashReport> reports{
        report(1, 0, {bad, first}), report(2, 100, {bad, first}), report(3, 200, {bad, first})};
    CHECK(findCulprits(reports, Successes{{bad, at(150)}, {first, at(150)}}).empty());
    const auto culprits = findCulprits(reports, Successes{{first, at(150)}});
    REQUIRE(culprits.size() == 1);
    CHECK(culprits[0].traits.suspects == std::vector<Fingerprint>{bad});
}

TEST_CASE("only what all blamed requests have in common narrows the quarantine")
{
    const std::vector<CrashReport> reports{
        report(1, 0, {bad, first}, {acme}), report(2, 100, {bad, rare}, {acme}), report(3, 200, {bad}, {other})};
    const auto culprits = findCulprits(reports, {});
    REQUIRE(culprits.size() == 1);
    CHECK(culprits[0].traits.suspects == std::vector<Fingerprint>{bad});
    CHECK(culprits[0].traits.context.empty());
}

TEST_CASE("a property that was beside the culprit in each crash is not blamed before a crash tells them apart")
{
    std::vector<CrashReport> reports;
    for (int i = 0; i < 3; ++i) {
        reports.push_back(report(i, 100 * i, {bad}));
        reports.push_back(report(i, 100 * i, {rare}));
    }
    CHECK(findCulprits(reports, {}).empty());
    reports.push_back(report(3, 300, {bad}));
    const auto culprits = findCulprits(reports, {});
    REQUIRE(culprits.size() == 1);
    CHECK(culprits[0].traits.suspects == std::vector<Fingerprint>{bad});
}

TEST_CASE("two culprits with crashes of their own are both blamed")
{
    std::vector<CrashReport> reports;
    for (int i = 0; i < 6; ++i) {
        reports.push_back(report(2 * i, 200 * i, {bad}));
        reports.push_back(report(2 * i + 1, 200 * i + 100, {rare}));
    }
    CHECK(findCulprits(reports, {}).size() == 2);
}

TEST_CASE("more crashes are needed while upstreams also crash for other reasons, or for what has succeeded before")
{
    std::vector<CrashReport> reports{report(1, 0, {bad}), report(2, 100, {bad}), report(3, 200, {bad})};
    reports.push_back(report(9, 150, {}));
    CHECK(findCulprits(reports, {}).empty());
    reports.push_back(report(4, 300, {bad}));
    CHECK(findCulprits(reports, {}).size() == 1);
    reports.back().established = {bad};
    CHECK(findCulprits(reports, {}).empty());
    for (int i = 5; i <= 8; ++i) {
        reports.push_back(report(i, 100 * i, {bad}));
    }
    CHECK(findCulprits(reports, {}).size() == 1);
}

TEST_CASE("crashes that a known culprit explains speak against nothing else")
{
    std::vector<CrashReport> reports;
    for (int i = 0; i < 8; ++i) {
        reports.push_back(report(i, 100 * i, {bad}));
        reports.push_back(report(i, 100 * i, {rare}));
    }
    const RequestTraits known{{bad}, {}};
    CHECK(findCulprits(reports, Successes{{bad, at(2000)}}, std::span(&known, 1)).empty());
    CHECK_FALSE(findCulprits(reports, Successes{{bad, at(2000)}}).empty());
}

TEST_CASE("a property that is present in half of the crashes is blamed for twice as many")
{
    std::vector<CrashReport> reports;
    for (int i = 0; i < 5; ++i) {
        reports.push_back(report(2 * i, 200 * i, {bad}));
        reports.push_back(report(2 * i + 1, 200 * i + 100, {}));
    }
    CHECK(findCulprits(reports, {}).empty());
    reports.push_back(report(10, 1000, {bad}));
    CHECK(findCulprits(reports, {}).size() == 1);
}
