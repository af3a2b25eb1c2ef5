// Tests that a group is reserved at all of its engines or at none, with concurrent reservers and lost messages.
#include "framework/testing/schedule.h"
#include "kvmemory/groupreservation.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <set>

using namespace magnolia;
using namespace magnolia::kvmemory;

namespace
{

/** Engines with memory for one group each; requests and answers may be lost. */
class FakeEngines
{
public:
    FakeEngines(testing::Schedule &schedule, double lossProbability)
        : m_schedule(schedule)
        , m_lossProbability(lossProbability)
    {
    }

    void reserve(const GroupMember &member, const std::string &id, std::function<void(GroupAnswer)> answer)
    {
        m_schedule.after(delay(), [this, member, id, answer] {
            if (m_schedule.random().chance(m_lossProbability)) {
                answer(GroupAnswer::NoAnswer);
                return;
            }
            auto &holder = m_holders[member.upstream];
            const bool isGranted = holder.empty() || holder == id;
            if (isGranted) {
                holder = id;
            }
            const bool isAnswerLost = m_schedule.random().chance(m_lossProbability);
            m_schedule.after(delay(), [answer, isGranted, isAnswerLost] {
                answer(isAnswerLost ? GroupAnswer::NoAnswer : isGranted ? GroupAnswer::Granted : GroupAnswer::Refused);
            });
        });
    }
    // Repeats a lost release, as the executor does.
    void release(const GroupMember &member, const std::string &id)
    {
        m_schedule.after(delay(), [this, member, id] {
            if (m_schedule.random().chance(m_lossProbability)) {
                release(member, id);
            } else if (m_holders[member.upstream] == id) {
                m_holders[member.upstream].clear();
            }
        });
    }
    [[nodiscard]] std::size_t heldCount(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(m_holders.begin(), m_holders.end(), [&id](const auto &it) {
            return it.second == id;
        }));
    }
    [[nodiscard]] bool areAllFree() const
    {
        return std::all_of(m_holders.begin(), m_holders.end(), [](const auto &it) {
            return it.second.empty();
        });
    }

private:
    Milliseconds delay()
    {
        return Milliseconds(1 + m_schedule.random().below(5));
    }

    testing::Schedule &m_schedule;
    double m_lossProbability;
    std::map<UpstreamId, std::string> m_holders;
};

struct Reserver
{
    GroupState state;
    bool wasHeld = false;
};

void execute(FakeEngines &engines, const std::shared_ptr<Reserver> &reserver, const std::vector<GroupEffect> &effects)
{
    for (const GroupEffect &effect : effects) {
        const std::string id = reserver->state.plan.id;
        if (effect.action == GroupAction::Release) {
            engines.release(effect.member, id);
            continue;
        }
        engines.reserve(effect.member, id, [&engines, reserver](GroupAnswer answer) {
            const auto next = handleGroupAnswer(reserver->state, answer);
            reserver->wasHeld = reserver->wasHeld || reserver->state.phase == GroupPhase::Held;
            execute(engines, reserver, next);
        });
    }
}

GroupPlan makePlan(Random &random, int number, std::size_t engines)
{
    GroupPlan plan;
    plan.id = "group-" + std::to_string(number);
    std::set<std::size_t> indices;
    while (indices.size() < 3) {
        indices.insert(random.below(engines));
    }
    for (const std::size_t i : indices) {
        plan.members.push_back({UpstreamId("engine-" + std::to_string(i)), ""});
    }
    // The order of the members in the plan must not matter.
    std::swap(plan.members[0], plan.members[random.below(3)]);
    return plan;
}

} // namespace

TEST_CASE("a group is held by all members or none, and all memory is released in the end")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        testing::Schedule schedule(seed);
        FakeEngines engines(schedule, 0.1);
        std::vector<std::shared_ptr<Reserver>> reservers;
        for (int i = 0; i < 4; ++i) {
            auto reserver = std::make_shared<Reserver>();
            reservers.push_back(reserver);
            GroupPlan plan = makePlan(schedule.random(), i, 6);
            schedule.after(Milliseconds(schedule.random().below(5)), [&engines, reserver, plan] {
                execute(engines, reserver, startGroupReservation(reserver->state, plan));
            });
        }
        schedule.runFor(Seconds(5));
        for (const auto &reserver : reservers) {
            REQUIRE(reserver->state.phase != GroupPhase::Acquiring);
            const std::size_t expected = reserver->state.phase == GroupPhase::Held ? 3 : 0;
            REQUIRE(engines.heldCount(reserver->state.plan.id) == expected);
            execute(engines, reserver, releaseGroupReservation(reserver->state));
        }
        schedule.runFor(Seconds(5));
        REQUIRE(engines.areAllFree());
    });
}

TEST_CASE("one of several concurrent reservers of the same engines always succeeds")
{
    testing::forEachSeed(2000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        testing::Schedule schedule(seed);
        FakeEngines engines(schedule, 0);
        std::vector<std::shared_ptr<Reserver>> reservers;
        for (int i = 0; i < 5; ++i) {
            auto reserver = std::make_shared<Reserver>();
            reservers.push_back(reserver);
            execute(engines, reserver, startGroupReservation(reserver->state, makePlan(schedule.random(), i, 3)));
        }
        schedule.runFor(Seconds(5));
        const auto held = std::count_if(reservers.begin(), reservers.end(), [](const auto &it) {
            return it->state.phase == GroupPhase::Held;
        });
        REQUIRE(held == 1);
    });
}

TEST_CASE("an empty group fails at once and has nothing to release")
{
    GroupState state;
    CHECK(startGroupReservation(state, {}).empty());
    CHECK(state.phase == GroupPhase::Failed);
    CHECK(releaseGroupReservation(state).empty());
}
