// Tests of the schedule of store checks, with fleets of several sizes in virtual time.
#include "published/storecheckschedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace magnolia;
using namespace magnolia::published;

namespace
{

const MonoTime start{std::chrono::seconds(100)};
/** A call to the store, or a datagram with the time in which a busy receiver reads it. */
constexpr Milliseconds answerTime{8};
constexpr Milliseconds datagramTime{20};
constexpr Milliseconds checkTimeout{1000};

struct FleetResult
{
    int checks = 0;
    /** From the store's return to the first announcement that all instances have received. */
    std::optional<Milliseconds> knownAfter;
};

/** Plays the checks of `instances` for `length`; the store answers nobody from `silentFrom` to `silentUntil`. */
FleetResult playFleet(
    std::size_t instances, Milliseconds length, Milliseconds silentFrom, Milliseconds silentUntil, std::uint64_t seed)
{
    struct Instance
    {
        StoreCheckSchedule schedule;
        std::optional<MonoTime> checkEndsAt;
        bool isAnswered = false;
    };
    Random random(seed);
    std::vector<Instance> fleet(instances);
    std::vector<MonoTime> announcements;
    for (Instance &it : fleet) {
        it.schedule.onConfirmed(start, instances, random);
    }
    FleetResult result;
    for (MonoTime now = start; now < start + length; now += Milliseconds(1)) {
        const bool isSilent = now >= start + silentFrom && now < start + silentUntil;
        for (Instance &it : fleet) {
            if (it.checkEndsAt && now >= *it.checkEndsAt) {
                it.checkEndsAt.reset();
                if (it.isAnswered) {
                    it.schedule.onConfirmed(now, instances, random);
                    announcements.push_back(now);
                } else {
                    it.schedule.onNotConfirmed(now, instances, random);
                }
            }
            if (!it.checkEndsAt && now >= it.schedule.dueAt()) {
                ++result.checks;
                it.isAnswered = !isSilent;
                it.checkEndsAt = now + (isSilent ? checkTimeout : answerTime);
            }
        }
        const auto arrived = std::find_if(announcements.begin(), announcements.end(), [&](MonoTime at) {
            return at + datagramTime == now;
        });
        if (arrived != announcements.end()) {
            for (Instance &it : fleet) {
                it.schedule.onConfirmed(*arrived, instances, random);
            }
            if (*arrived >= start + silentUntil && !result.knownAfter) {
                result.knownAfter = toMilliseconds(now - (start + silentUntil));
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("the rate of store checks does not grow with the fleet")
{
    constexpr Milliseconds minute{60'000};
    for (const std::size_t instances : {1U, 6U, 65U, 295U}) {
        INFO(instances << " instances");
        const FleetResult result = playFleet(instances, minute, minute, minute, 1);
        CHECK(result.checks >= 50);
        CHECK(result.checks <= 240);
    }
}

TEST_CASE("an instance of any fleet has asked a store that was silent within two seconds after its return")
{
    for (const std::size_t instances : {1U, 6U, 65U, 295U}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO(instances << " instances, seed " << seed);
            const FleetResult result
                = playFleet(instances, Milliseconds(12'000), Milliseconds(2000), Milliseconds(7500), seed);
            REQUIRE(result.knownAfter);
            CHECK(*result.knownAfter <= Milliseconds(2000));
        }
    }
}

TEST_CASE("a confirmation that a peer has relayed late does not move the next check")
{
    Random random(1);
    StoreCheckSchedule schedule;
    CHECK_FALSE(schedule.onConfirmed(start, 6, random));
    const MonoTime dueAt = schedule.dueAt();
    CHECK_FALSE(schedule.onConfirmed(start - Milliseconds(300), 6, random));
    CHECK(schedule.dueAt() == dueAt);
}

TEST_CASE("a confirmation after a long silence is reported once")
{
    Random random(1);
    StoreCheckSchedule schedule;
    schedule.onConfirmed(start, 6, random);
    CHECK(schedule.isSilent(start + Milliseconds(2600)));
    CHECK(schedule.onConfirmed(start + Milliseconds(2600), 6, random));
    CHECK_FALSE(schedule.onConfirmed(start + Milliseconds(3000), 6, random));
}
