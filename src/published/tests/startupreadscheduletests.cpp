// Tests of the times at which instances without a state try to read the store.
#include "published/startupreadschedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

constexpr MonoTime start = MonoTime{} + std::chrono::hours(1);

/** Returns the times of the attempts of a fleet in `time`, in order, while the store answers nobody. */
std::vector<MonoTime> attemptsOfFleet(std::size_t instances, std::uint64_t seed, Milliseconds time)
{
    std::vector<MonoTime> attempts;
    Random random(seed);
    for (std::size_t i = 0; i < instances; ++i) {
        StartupReadSchedule schedule;
        MonoTime at = schedule.dueAt(instances, start);
        while (at < start + time) {
            attempts.push_back(at);
            schedule.onAttempt(at, random);
            at = schedule.dueAt(instances, at);
        }
    }
    std::sort(attempts.begin(), attempts.end());
    return attempts;
}

} // namespace

TEST_CASE("a fleet whose store is silent makes about ten attempts per second, whatever its size")
{
    const std::size_t instances = GENERATE(6, 77, 295);
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
    INFO("instances " << instances << ", MAGNOLIA_SEED=" << seed);
    constexpr Milliseconds time{60'000};
    const auto attempts = attemptsOfFleet(instances, seed, time);
    // The first attempt of each instance is made at its start, when it does not know yet that the store is silent.
    const double later = static_cast<double>(attempts.size() - instances);
    CHECK(later / 60 <= 12);
    CHECK(later / 60 >= 8);
    // The attempts are spread and do not come in waves: ten independent ones per second exceed 25 hardly ever.
    for (auto it = attempts.begin() + static_cast<std::ptrdiff_t>(instances); it != attempts.end(); ++it) {
        const auto end = std::lower_bound(it, attempts.end(), *it + Milliseconds(1000));
        CHECK(end - it <= 25);
    }
}

TEST_CASE("a single instance makes its next attempt sooner than the two seconds of one silent call")
{
    const auto attempts = attemptsOfFleet(1, GENERATE(1, 2, 3, 4), Milliseconds(20'000));
    for (std::size_t i = 1; i < attempts.size(); ++i) {
        CHECK(attempts[i] - attempts[i - 1] <= Milliseconds(500));
        CHECK(attempts[i] - attempts[i - 1] >= Milliseconds(100));
    }
}

TEST_CASE("an instance reads soon after a peer had an answer, within the reads per second of a small deployment")
{
    constexpr std::size_t instances = 295;
    Random random(GENERATE(1, 2, 3));
    std::vector<MonoTime> reads;
    const MonoTime news = start + Milliseconds(700);
    for (std::size_t i = 0; i < instances; ++i) {
        StartupReadSchedule schedule;
        schedule.onAttempt(start, random);
        (void)schedule.onPeerAnswered(news, news, random);
        reads.push_back(schedule.dueAt(instances, news));
    }
    std::sort(reads.begin(), reads.end());
    CHECK(reads.back() - news <= Milliseconds(300));
    for (auto it = reads.begin(); it != reads.end(); ++it) {
        CHECK(std::lower_bound(it, reads.end(), *it + Milliseconds(1000)) - it <= 2000);
    }
}

TEST_CASE("an answer that a peer had before the last attempt, or long ago, makes no attempt due")
{
    Random random(1);
    StartupReadSchedule schedule;
    schedule.onAttempt(start, random);
    CHECK_FALSE(schedule.onPeerAnswered(start - Milliseconds(1), start, random));
    CHECK_FALSE(schedule.onPeerAnswered(start + Milliseconds(1), start + Milliseconds(4000), random));
    CHECK(schedule.onPeerAnswered(start + Milliseconds(4000), start + Milliseconds(4000), random));
    // Repeated news does not draw a new, earlier time.
    CHECK_FALSE(schedule.onPeerAnswered(start + Milliseconds(4100), start + Milliseconds(4100), random));
}
