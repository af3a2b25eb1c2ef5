// Reserves the memory of a group of engines, all or none.
#include "kvmemory/groupreservation.h"

#include <algorithm>

namespace magnolia::kvmemory
{

namespace
{

std::vector<GroupEffect> askNext(GroupState &state)
{
    const GroupMember &next = state.plan.members[state.asked];
    ++state.asked;
    return {{GroupAction::Reserve, next}};
}

// Also the member that refused or was lost: a release that finds nothing harms nothing.
std::vector<GroupEffect> releaseAsked(const GroupState &state)
{
    std::vector<GroupEffect> effects;
    for (std::size_t i = 0; i < state.asked; ++i) {
        effects.push_back({GroupAction::Release, state.plan.members[i]});
    }
    return effects;
}

} // namespace

std::vector<GroupEffect> startGroupReservation(GroupState &state, GroupPlan plan)
{
    state = {};
    state.plan = std::move(plan);
    std::sort(state.plan.members.begin(), state.plan.members.end(), [](const GroupMember &a, const GroupMember &b) {
        return a.upstream < b.upstream;
    });
    if (state.plan.members.empty()) {
        state.phase = GroupPhase::Failed;
        return {};
    }
    return askNext(state);
}

std::vector<GroupEffect> handleGroupAnswer(GroupState &state, GroupAnswer answer)
{
    if (state.phase != GroupPhase::Acquiring) {
        return {};
    }
    if (answer != GroupAnswer::Granted) {
        state.phase = GroupPhase::Failed;
        return releaseAsked(state);
    }
    if (state.asked < state.plan.members.size()) {
        return askNext(state);
    }
    state.phase = GroupPhase::Held;
    return {};
}

std::vector<GroupEffect> releaseGroupReservation(GroupState &state)
{
    if (state.phase == GroupPhase::Failed || state.phase == GroupPhase::Released) {
        return {};
    }
    state.phase = GroupPhase::Released;
    return releaseAsked(state);
}

} // namespace magnolia::kvmemory
