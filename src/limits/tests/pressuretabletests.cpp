// Tests of the upstreams that have asked for fewer requests.
#include "framework/global/random.h"
#include "limits/pressuretable.h"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace magnolia;
using namespace magnolia::limits;

namespace
{

const MonoTime start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("an upstream that wants nothing for a time is available again after it")
{
    PressureTable table;
    CHECK(table.availableAt(1, 7, 1, start) == start);
    table.pause(1, 7, Milliseconds(3000), start);
    // A shorter time that is stated later does not end the longer one.
    table.pause(1, 7, Milliseconds(500), start + Milliseconds(100));
    CHECK(table.availableAt(1, 7, 1, start + Milliseconds(1000)) == start + Milliseconds(3000));
    CHECK(table.availableAt(1, 7, 1, start + Milliseconds(3000)) == start + Milliseconds(3000));
    CHECK(table.availableAt(2, 7, 1, start) == start);
}

TEST_CASE("a new run of an upstream has not asked for fewer requests")
{
    PressureTable table;
    table.pause(1, 7, Milliseconds(3000), start);
    CHECK(table.availableAt(1, 8, 1, start) == start);
    table.pause(1, 8, Milliseconds(100), start);
    CHECK(table.availableAt(1, 8, 1, start) == start + Milliseconds(100));
}

TEST_CASE("what an upstream has asked for outlasts a gap in its registration and is forgotten after a minute")
{
    PressureTable table;
    table.pause(1, 7, Milliseconds(3'600'000), start);
    (void)table.setLimit(2, 7, 1.5, start);
    const auto isNone = [](std::uint64_t) {
        return false;
    };
    const auto isAny = [](std::uint64_t) {
        return true;
    };
    table.retain(isNone, start);
    table.retain(isNone, start + Milliseconds(59'000));
    table.retain(isAny, start + Milliseconds(59'500));
    CHECK(table.availableAt(1, 7, 1, start + Milliseconds(60'000)) == start + Milliseconds(3'600'000));
    CHECK(table.limit(2, 7) == 1.5);
    table.retain(isNone, start + Milliseconds(70'000));
    table.retain(isNone, start + Milliseconds(129'000));
    CHECK(table.size() == 2);
    table.retain(isNone, start + Milliseconds(130'000));
    CHECK(table.size() == 0);
}

TEST_CASE("a limit that is stated again is no change, another value or its end is one")
{
    PressureTable table;
    CHECK_FALSE(table.setLimit(1, 7, std::nullopt, start));
    CHECK(table.setLimit(1, 7, 2.0, start));
    CHECK_FALSE(table.setLimit(1, 7, 2.0, start));
    CHECK(table.setLimit(1, 7, 1.4, start));
    CHECK(table.limit(1, 7) == 1.4);
    CHECK_FALSE(table.limit(1, 8));
    CHECK(table.setLimit(1, 7, std::nullopt, start));
    CHECK(table.availableAt(1, 7, 1, start) == start);
}

TEST_CASE("an upstream with a limit of zero is asked now and then whether it still holds")
{
    PressureTable table;
    table.setLimit(1, 7, 0.0, start);
    table.recordRequest(1, 1, start);
    CHECK(table.availableAt(1, 7, 1, start) == start + Milliseconds(10'000));
}

TEST_CASE("instances that hear each other keep the limit of an upstream together, at any rate and number of instances")
{
    constexpr Milliseconds datagramTime{5};
    constexpr Milliseconds length{30'000};
    constexpr Milliseconds window{4000};
    for (const double limit : {0.5, 1.0, 1.4, 5.0, 20.0}) {
        for (const std::size_t instances : {1U, 9U, 65U}) {
            INFO("limit " << limit << ", " << instances << " instances");
            Random random(3);
            std::vector<PressureTable> tables(instances);
            for (PressureTable &it : tables) {
                it.setLimit(1, 7, limit, start);
            }
            struct Announcement
            {
                std::size_t from = 0;
                MonoTime arrivesAt{};
            };
            std::deque<Announcement> announced;
            std::deque<MonoTime> sent;
            int total = 0;
            for (MonoTime now = start; now < start + length; now += Milliseconds(1)) {
                while (!announced.empty() && announced.front().arrivesAt <= now) {
                    for (std::size_t i = 0; i < instances; ++i) {
                        if (i != announced.front().from) {
                            tables[i].recordRequest(1, 1, now);
                        }
                    }
                    announced.pop_front();
                }
                // Forty requests a second that any of the instances receives.
                const std::size_t chosen = random.below(instances);
                if (!random.chance(0.04) || tables[chosen].availableAt(1, 7, 1, now) > now) {
                    continue;
                }
                tables[chosen].recordRequest(1, 1, now);
                announced.push_back({chosen, now + datagramTime});
                sent.push_back(now);
                ++total;
                while (now - sent.front() >= window) {
                    sent.pop_front();
                }
                const double allowed = 1.5 * limit * std::chrono::duration<double>(window).count() + 5;
                REQUIRE(static_cast<double>(sent.size()) <= allowed);
            }
            const double seconds = std::chrono::duration<double>(length).count();
            CHECK(total >= 0.75 * limit * seconds);
            CHECK(total <= 1.2 * limit * seconds + 2);
        }
    }
}

TEST_CASE("instances that do not hear each other share the limit of an upstream by their parts")
{
    PressureTable table;
    table.setLimit(1, 7, 2.0, start);
    table.recordRequest(1, 0.25, start);
    CHECK(table.availableAt(1, 7, 0.25, start) == start + Milliseconds(2000));
}
