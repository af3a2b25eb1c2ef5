// Plays many instances that choose at the same moment, on views of each other that are out of date, in virtual time.
#include "framework/global/random.h"
#include "framework/testing/schedule.h"
#include "placement/chooseengines.h"
#include "placement/chooseservice.h"
#include "placement/enginecost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace magnolia;
using namespace magnolia::placement;

namespace
{

/** Bound of the ratio of the busiest to the mean among upstreams that take the same kind of work. */
constexpr double maxBusiestOverMean = 1.5;

/** Three upstreams with 6 slots each, calls of 15 ms; peers learn of placements 1 to 4 ms late, or not at all. */
struct ServiceFleet
{
    static constexpr int upstreams = 3;
    static constexpr int slots = 6;
    static constexpr double callMs = 15;
    static constexpr double loss = 0.01;

    ServiceFleet(std::size_t instances, std::uint64_t seed)
        : schedule(seed)
    {
        for (int i = 1; i <= upstreams; ++i) {
            candidates.push_back({static_cast<UpstreamKey>(i), slots, 1, false, Milliseconds(0)});
        }
        for (std::size_t i = 0; i < instances; ++i) {
            tables.push_back(std::make_unique<PlacementTable>([](const Placement &) {
                return 0.0;
            }));
        }
    }

    /** A message that is lost is made up for by the next full state, within a second; a call has ended by then. */
    void tell(std::size_t from, bool isEnd, const std::function<void(PlacementTable &)> &change)
    {
        change(*tables[from]);
        for (std::size_t i = 0; i < tables.size(); ++i) {
            const bool isLost = schedule.random().chance(loss);
            if (i == from || (isLost && !isEnd)) {
                continue;
            }
            const auto delay = std::chrono::microseconds(1000 + schedule.random().below(isLost ? 1'000'000 : 3000));
            schedule.after(delay, [this, i, change] {
                change(*tables[i]);
            });
        }
    }

    /** An upstream serves up to `slots` calls at once; the others wait in order of arrival. */
    void startCalls(UpstreamKey key)
    {
        while (running[key] < slots && !waiting[key].empty()) {
            const auto [id, instance, arrivedAt] = waiting[key].front();
            waiting[key].erase(waiting[key].begin());
            ++running[key];
            schedule.after(std::chrono::microseconds(static_cast<int>(callMs * 1000)),
                [this, key, id = id, instance = instance, arrivedAt = arrivedAt] {
                    --running[key];
                    times.push_back(std::chrono::duration<double, std::milli>(schedule.now() - arrivedAt).count());
                    tell(instance, true, [this, id](PlacementTable &table) {
                        table.remove(id, schedule.now());
                    });
                    startCalls(key);
                });
        }
    }

    void call(std::size_t instance)
    {
        const Decision decision
            = chooseServiceUpstream({callMs, CallerTime{Milliseconds(1000)}, schedule.random().next()}, candidates,
                tables[instance]->loads(schedule.now()));
        REQUIRE(decision.verdict == Verdict::Send);
        ++sent[decision.primary];
        Placement placement;
        placement.id = ++lastId;
        placement.primary = decision.primary;
        placement.isDecoding = true;
        placement.placedAt = schedule.now();
        tell(instance, false, [this, placement](PlacementTable &table) {
            table.put("", placement, schedule.now());
        });
        waiting[decision.primary].push_back({placement.id, instance, schedule.now()});
        startCalls(decision.primary);
    }

    [[nodiscard]] double busiestOverMean() const
    {
        double total = 0;
        double busiest = 0;
        for (const auto &[key, count] : sent) {
            total += count;
            busiest = std::max<double>(busiest, count);
        }
        return busiest * upstreams / total;
    }

    struct Waiting
    {
        PlacementId id = 0;
        std::size_t instance = 0;
        MonoTime arrivedAt{};
    };

    testing::Schedule schedule;
    std::vector<Candidate> candidates;
    std::vector<std::unique_ptr<PlacementTable>> tables;
    std::map<UpstreamKey, int> sent;
    std::map<UpstreamKey, int> running;
    std::map<UpstreamKey, std::vector<Waiting>> waiting;
    std::vector<double> times;
    PlacementId lastId = 0;
};

} // namespace

TEST_CASE("plain calls that many instances send at the same moment are spread over the upstreams")
{
    // Guards against a deterministic minimum, with which all instances choose the first of equally loaded upstreams.
    const std::size_t instances = GENERATE(6, 77, 295);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(instances, seed);
    ServiceFleet fleet(instances, seed);
    constexpr int bursts = 20;
    // As many calls as the upstreams have slots.
    constexpr int callsInBurst = 18;
    for (int burst = 0; burst < bursts; ++burst) {
        for (int i = 0; i < callsInBurst; ++i) {
            fleet.call(fleet.schedule.random().below(instances));
        }
        fleet.schedule.runFor(Milliseconds(50));
    }
    CHECK(fleet.busiestOverMean() <= maxBusiestOverMean);
}

TEST_CASE("plain calls are on time while a third and while nearly all of the slots are busy")
{
    const double load = GENERATE(0.33, 0.85);
    const std::size_t instances = GENERATE(6, 77);
    CAPTURE(load, instances);
    ServiceFleet fleet(instances, 4);
    const double meanGapMs = ServiceFleet::callMs / (load * ServiceFleet::upstreams * ServiceFleet::slots);
    constexpr int calls = 2000;
    for (int i = 0; i < calls; ++i) {
        fleet.call(fleet.schedule.random().below(instances));
        fleet.schedule.runFor(
            std::chrono::microseconds(static_cast<int>(fleet.schedule.random().exponential(meanGapMs) * 1000)));
    }
    fleet.schedule.runFor(std::chrono::seconds(1));
    CHECK(fleet.busiestOverMean() <= maxBusiestOverMean);
    REQUIRE(fleet.times.size() == calls);
    // The target of plain calls on the smaller of the two deployments' targets.
    constexpr double targetMs = 120;
    CHECK(std::count_if(fleet.times.begin(), fleet.times.end(), [](double ms) {
        return ms > targetMs;
    }) == 0);
}

TEST_CASE("a slow upstream of a plain service gets no call while others are free")
{
    const std::vector<Candidate> candidates{
        {1, 6, 1, false, Milliseconds(0)}, {2, 6, 5, false, Milliseconds(0)}, {3, 6, 1, false, Milliseconds(0)}};
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        CHECK(chooseServiceUpstream({15, CallerTime{Milliseconds(1000)}, seed}, candidates, {}).primary != 2);
    }
}
