// Holds the memory of a group of engines for one attempt.
#include "entry/internal/run/groupholder.h"

#include "entry/cancelqueue.h"
#include "entry/internal/run/jsoncall.h"
#include "kvmemory/groupreservation.h"

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds reserveTimeout{1000};
constexpr std::size_t maxAnswer = 4096;
constexpr int httpCreated = 201;

kvmemory::GroupAnswer reserve(
    upstreams::IUpstreamClient &client, const kvmemory::GroupPlan &plan, const kvmemory::GroupMember &member)
{
    const nlohmann::json body{{"id", plan.id}, {"owner", plan.owner}, {"tokens", plan.tokensPerMember.count()},
        {"ttl_ms", plan.timeToLive.count()}};
    const auto answer
        = callJson(client, member.address, "POST", "/v1/reservations", body.dump(), reserveTimeout, maxAnswer);
    if (!answer) {
        return kvmemory::GroupAnswer::NoAnswer;
    }
    return answer->status == httpCreated ? kvmemory::GroupAnswer::Granted : kvmemory::GroupAnswer::Refused;
}

} // namespace

GroupHolder::GroupHolder(upstreams::IUpstreamClient &client, CancelQueue &cancels)
    : m_client(client)
    , m_cancels(cancels)
{
}

GroupHolder::~GroupHolder()
{
    release();
}

Result<void> GroupHolder::hold(kvmemory::GroupPlan plan)
{
    auto effects = kvmemory::startGroupReservation(m_state, std::move(plan));
    while (!effects.empty()) {
        effects = carryOut(effects);
    }
    if (m_state.phase != kvmemory::GroupPhase::Held) {
        return makeError(ResultCode::MemoryGroupUnavailable, "a member of the group has no room or does not answer");
    }
    return {};
}

void GroupHolder::release()
{
    static_cast<void>(carryOut(kvmemory::releaseGroupReservation(m_state)));
}

std::vector<kvmemory::GroupEffect> GroupHolder::carryOut(const std::vector<kvmemory::GroupEffect> &effects)
{
    std::vector<kvmemory::GroupEffect> next;
    for (const kvmemory::GroupEffect &effect : effects) {
        if (effect.action == kvmemory::GroupAction::Release) {
            m_cancels.releaseReservation(effect.member.address, m_state.plan.id);
        } else {
            next = kvmemory::handleGroupAnswer(m_state, reserve(m_client, m_state.plan, effect.member));
        }
    }
    return next;
}

} // namespace magnolia::entry
