// Implements the reservation of the memory of a group of engines.
#include "kvmemory/groupreservation.h"

#include <algorithm>

namespace magnolia::kvmemory
{

namespace
{

std::vector<GroupEffect> reserveNext(GroupState &state)
{
    const GroupMember &next = state.plan.members[state.requestedCount];
    ++state.requestedCount;
    return {{GroupAction::Reserve, next}};
}

// Includes the member that refused or did not answer: a release without a reservation does no harm.
std::vector<GroupEffect> releaseRequested(const GroupState &state)
{
    std::vector<GroupEffect> effects;
    for (std::size_t i = 0; i < state.requestedCount; ++i) {
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
    return reserveNext(state);
}

std::vector<GroupEffect> handleGroupAnswer(GroupState &state, GroupAnswer answer)
{
    if (state.phase != GroupPhase::Acquiring) {
        return {};
    }
    if (answer != GroupAnswer::Granted) {
        state.phase = GroupPhase::Failed;
        return releaseRequested(state);
    }
    if (state.requestedCount < state.plan.members.size()) {
        return reserveNext(state);
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
    return releaseRequested(state);
}

} // namespace magnolia::kvmemory
