// Reserves memory at a group of engines for one attempt.
#include "entry/internal/run/groupreserver.h"

#include "entry/cancelqueue.h"
#include "entry/internal/run/jsoncall.h"
#include "kvmemory/groupreservation.h"

namespace magnolia::entry
{

namespace
{

constexpr Milliseconds reserveTimeout{1000};
constexpr std::size_t maxAnswerSize = 4096;
constexpr int httpCreated = 201;

kvmemory::GroupAnswer reserveAtMember(
    upstreams::IUpstreamClient &client, const kvmemory::GroupPlan &plan, const kvmemory::GroupMember &member)
{
    const nlohmann::json body{{"id", plan.id}, {"owner", plan.owner}, {"tokens", plan.tokensPerMember.count()},
        {"ttl_ms", plan.timeToLive.count()}};
    const auto answer
        = callJson(client, member.address, "POST", "/v1/reservations", body.dump(), reserveTimeout, maxAnswerSize);
    if (!answer) {
        return kvmemory::GroupAnswer::NoAnswer;
    }
    return answer->status == httpCreated ? kvmemory::GroupAnswer::Granted : kvmemory::GroupAnswer::Refused;
}

} // namespace

GroupReserver::GroupReserver(upstreams::IUpstreamClient &client, CancelQueue &cancelQueue)
    : m_client(client)
    , m_cancelQueue(cancelQueue)
{
}

GroupReserver::~GroupReserver()
{
    release();
}

Result<void> GroupReserver::reserve(kvmemory::GroupPlan plan)
{
    auto effects = kvmemory::startGroupReservation(m_state, std::move(plan));
    while (!effects.empty()) {
        effects = execute(effects);
    }
    if (m_state.phase != kvmemory::GroupPhase::Held) {
        return makeError(
            ResultCode::MemoryGroupUnavailable, "an engine of the group has too little free memory or does not answer");
    }
    return {};
}

void GroupReserver::release()
{
    static_cast<void>(execute(kvmemory::releaseGroupReservation(m_state)));
}

std::vector<kvmemory::GroupEffect> GroupReserver::execute(const std::vector<kvmemory::GroupEffect> &effects)
{
    std::vector<kvmemory::GroupEffect> next;
    for (const kvmemory::GroupEffect &effect : effects) {
        if (effect.action == kvmemory::GroupAction::Release) {
            m_cancelQueue.releaseReservation(effect.member.address, m_state.plan.id);
        } else {
            next = kvmemory::handleGroupAnswer(m_state, reserveAtMember(m_client, m_state.plan, effect.member));
        }
    }
    return next;
}

} // namespace magnolia::entry
