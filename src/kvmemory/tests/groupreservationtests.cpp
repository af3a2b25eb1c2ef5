// A group is held by all its engines or by none, whoever reserves at the same time and whatever is lost.
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

/** Engines with room for one group each, reached through calls that may be lost on the way there or back. */
class FakeEngines
{
public:
    FakeEngines(testing::Schedule &schedule, double loss)
        : m_schedule(schedule)
        , m_loss(loss)
    {
    }

    void reserve(const GroupMember &member, const std::string &id, std::function<void(GroupAnswer)> answer)
    {
        m_schedule.after(delay(), [this, member, id, answer] {
            if (m_schedule.random().chance(m_loss)) {
                answer(GroupAnswer::NoAnswer);
                return;
            }
            auto &holder = m_holders[member.upstream];
            const bool isGranted = holder.empty() || holder == id;
            if (isGranted) {
                holder = id;
            }
            const bool isAnswerLost = m_schedule.random().chance(m_loss);
            m_schedule.after(delay(), [answer, isGranted, isAnswerLost] {
                answer(isAnswerLost ? GroupAnswer::NoAnswer : isGranted ? GroupAnswer::Granted : GroupAnswer::Refused);
            });
        });
    }
    // Repeated until it arrives, as the executor does.
    void release(const GroupMember &member, const std::string &id)
    {
        m_schedule.after(delay(), [this, member, id] {
            if (m_schedule.random().chance(m_loss)) {
                release(member, id);
            } else if (m_holders[member.upstream] == id) {
                m_holders[member.upstream].clear();
            }
        });
    }
    [[nodiscard]] std::size_t heldBy(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(m_holders.begin(), m_holders.end(), [&id](const auto &one) {
            return one.second == id;
        }));
    }
    [[nodiscard]] bool areAllFree() const
    {
        return std::all_of(m_holders.begin(), m_holders.end(), [](const auto &one) {
            return one.second.empty();
        });
    }

private:
    Milliseconds delay()
    {
        return Milliseconds(1 + m_schedule.random().below(5));
    }

    testing::Schedule &m_schedule;
    double m_loss;
    std::map<UpstreamId, std::string> m_holders;
};

struct Reserver
{
    GroupState state;
    bool wasHeld = false;
};

void carryOut(FakeEngines &engines, const std::shared_ptr<Reserver> &reserver, const std::vector<GroupEffect> &effects)
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
            carryOut(engines, reserver, next);
        });
    }
}

GroupPlan planOf(Random &random, int number, std::size_t engines)
{
    GroupPlan plan;
    plan.id = "group-" + std::to_string(number);
    std::set<std::size_t> chosen;
    while (chosen.size() < 3) {
        chosen.insert(random.below(engines));
    }
    for (const std::size_t i : chosen) {
        plan.members.push_back({UpstreamId("engine-" + std::to_string(i)), ""});
    }
    // The order in which routing names the members is of no matter.
    std::swap(plan.members[0], plan.members[random.below(3)]);
    return plan;
}

} // namespace

TEST_CASE("a group is held by all or by none, and everything comes back")
{
    testing::forEachSeed(10000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        testing::Schedule schedule(seed);
        FakeEngines engines(schedule, 0.1);
        std::vector<std::shared_ptr<Reserver>> reservers;
        for (int i = 0; i < 4; ++i) {
            auto reserver = std::make_shared<Reserver>();
            reservers.push_back(reserver);
            GroupPlan plan = planOf(schedule.random(), i, 6);
            schedule.after(Milliseconds(schedule.random().below(5)), [&engines, reserver, plan] {
                carryOut(engines, reserver, startGroupReservation(reserver->state, plan));
            });
        }
        schedule.runFor(Seconds(5));
        for (const auto &reserver : reservers) {
            REQUIRE(reserver->state.phase != GroupPhase::Acquiring);
            const std::size_t expected = reserver->state.phase == GroupPhase::Held ? 3 : 0;
            REQUIRE(engines.heldBy(reserver->state.plan.id) == expected);
            carryOut(engines, reserver, releaseGroupReservation(reserver->state));
        }
        schedule.runFor(Seconds(5));
        REQUIRE(engines.areAllFree());
    });
}

TEST_CASE("of reservers that want the same engines at the same time, one always gets its group")
{
    testing::forEachSeed(2000, [](std::uint64_t seed) {
        INFO("MAGNOLIA_SEED=" << seed);
        testing::Schedule schedule(seed);
        FakeEngines engines(schedule, 0);
        std::vector<std::shared_ptr<Reserver>> reservers;
        for (int i = 0; i < 5; ++i) {
            auto reserver = std::make_shared<Reserver>();
            reservers.push_back(reserver);
            carryOut(engines, reserver, startGroupReservation(reserver->state, planOf(schedule.random(), i, 3)));
        }
        schedule.runFor(Seconds(5));
        const auto held = std::count_if(reservers.begin(), reservers.end(), [](const auto &one) {
            return one->state.phase == GroupPhase::Held;
        });
        REQUIRE(held == 1);
    });
}

TEST_CASE("an empty group fails at once, and a release is made once")
{
    GroupState state;
    CHECK(startGroupReservation(state, {}).empty());
    CHECK(state.phase == GroupPhase::Failed);
    CHECK(releaseGroupReservation(state).empty());
}
