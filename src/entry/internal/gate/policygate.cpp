// Joins admission and routing to the blackboard and the requests.
#include "entry/policygate.h"

#include "entry/healthkeeper.h"

#include <fmt/core.h>

namespace magnolia::entry
{

namespace
{

constexpr std::size_t loggedAlternates = 3;

std::string scored(const routing::RankedUpstream &ranked)
{
    return fmt::format("{}:{:.3f}", ranked.upstream.value(), ranked.score);
}

UpstreamChoice toChoice(const routing::RoutingDecision &decision)
{
    UpstreamChoice choice;
    choice.upstream = decision.chosen.upstream;
    choice.address = decision.chosen.address;
    choice.priority = decision.priority;
    choice.reason = decision.reason;
    choice.candidates = decision.candidateCount;
    choice.listAge = decision.listAge;
    choice.reportAge = decision.chosen.reportAge;
    choice.predictedFirstToken = decision.predictedFirstToken;
    choice.predictedFinish = decision.predictedFinish;
    choice.memoryPerMember = decision.memoryPerMember;
    for (const routing::RankedUpstream &member : decision.group) {
        choice.group.push_back({member.upstream, member.address});
    }
    choice.ranking.push_back(scored(decision.chosen));
    for (const routing::RankedUpstream &alternate : decision.alternates) {
        if (choice.ranking.size() > loggedAlternates) {
            break;
        }
        choice.ranking.push_back(scored(alternate));
    }
    return choice;
}

} // namespace

PolicyGate::PolicyGate(DataCentreId dataCentre, const Blackboard &blackboard, const IClock &clock, HealthKeeper &health,
    std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_health(health)
    , m_controller(seed)
{
}

routing::RoutingRequest PolicyGate::toRoutingRequest(const CallerRequest &request) const
{
    routing::RoutingRequest routed;
    routed.id = request.id;
    routed.classId = request.workClass.id;
    routed.kind = request.workClass.kind;
    routed.organisation = request.organisation;
    routed.target = request.service.empty() ? request.model.value() : request.service;
    routed.prompt = request.prompt;
    routed.maxOutput = request.maxOutput;
    routed.arrivedAt = request.arrivedAt;
    routed.finishDue = request.finishDue();
    routed.firstTokenDue = std::min(request.firstTokenDue(), routed.finishDue);
    return routed;
}

Result<UpstreamChoice> PolicyGate::admit(const CallerRequest &request, MonoTime now)
{
    return decide(request, {}, false, now);
}

Result<UpstreamChoice> PolicyGate::retry(
    const CallerRequest &request, const std::vector<UpstreamId> &tried, MonoTime now)
{
    return decide(request, tried, true, now);
}

Result<UpstreamChoice> PolicyGate::decide(
    const CallerRequest &request, const std::vector<UpstreamId> &tried, bool isRetry, MonoTime now)
{
    const auto list = m_blackboard.publishedList.read();
    const auto load = m_blackboard.load.read();
    const auto health = m_blackboard.health.read();
    const auto membership = m_blackboard.membership.read();
    admission::AdmissionContext facts;
    facts.list = list.get();
    facts.load = load.get();
    facts.health = health.get();
    facts.membership = membership.get();
    facts.ownDataCentre = m_dataCentre;
    facts.wallNow = m_clock.wallNow();
    routing::RoutingRequest routed = toRoutingRequest(request);
    routed.triedUpstreams = tried;
    const auto admitted = isRetry ? m_controller.retry(routed, facts, now) : m_controller.admit(routed, facts, now);
    if (!admitted) {
        return tl::unexpected(admitted.error());
    }
    m_controller.recordDispatch(routed, admitted->decision, now);
    return toChoice(admitted->decision);
}

void PolicyGate::firstTokenSeen(const CallerRequest &request, MonoTime now)
{
    m_controller.recordFirstToken(request.id, now);
}

void PolicyGate::attemptEnded(
    const CallerRequest &request, const UpstreamChoice &choice, AttemptEnd end, Tokens generated, MonoTime now)
{
    if (end == AttemptEnd::Whole) {
        m_controller.recordFinish(request.id, generated, now);
    } else {
        m_controller.recordFailure(request.id, now);
    }
    m_health.noteAttempt(choice.upstream, end, now);
}

const admission::AdmissionController &PolicyGate::controller() const
{
    return m_controller;
}

} // namespace magnolia::entry
