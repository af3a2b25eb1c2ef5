// Connects the admission controller to the blackboard and the requests.
#include "entry/dispatchpolicy.h"

#include "entry/upstreamhealthtracker.h"

#include <fmt/core.h>

namespace magnolia::entry
{

namespace
{

constexpr std::size_t maxLoggedAlternates = 3;

std::string formatScore(const routing::RankedUpstream &ranked)
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
    choice.candidateCount = decision.candidateCount;
    choice.listAge = decision.listAge;
    choice.reportAge = decision.chosen.reportAge;
    choice.predictedFirstToken = decision.predictedFirstToken;
    choice.predictedFinish = decision.predictedFinish;
    choice.memoryPerMember = decision.memoryPerMember;
    for (const routing::RankedUpstream &member : decision.group) {
        choice.group.push_back({member.upstream, member.address});
    }
    choice.ranking.push_back(formatScore(decision.chosen));
    for (const routing::RankedUpstream &alternate : decision.alternates) {
        if (choice.ranking.size() > maxLoggedAlternates) {
            break;
        }
        choice.ranking.push_back(formatScore(alternate));
    }
    return choice;
}

} // namespace

DispatchPolicy::DispatchPolicy(DataCentreId dataCentre, const Blackboard &blackboard, const IClock &clock,
    UpstreamHealthTracker &health, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_blackboard(blackboard)
    , m_clock(clock)
    , m_health(health)
    , m_controller(seed)
{
}

routing::RoutingRequest DispatchPolicy::toRoutingRequest(const CallerRequest &request) const
{
    routing::RoutingRequest routingRequest;
    routingRequest.id = request.id;
    routingRequest.classId = request.requestClass.id;
    routingRequest.kind = request.requestClass.kind;
    routingRequest.organisation = request.organisation;
    routingRequest.target = request.service.empty() ? request.model.value() : request.service;
    routingRequest.prompt = request.prompt;
    routingRequest.maxOutput = request.maxOutput;
    routingRequest.arrivedAt = request.arrivedAt;
    routingRequest.finishDue = request.finishDue();
    routingRequest.firstTokenDue = std::min(request.firstTokenDue(), routingRequest.finishDue);
    return routingRequest;
}

Result<UpstreamChoice> DispatchPolicy::admit(const CallerRequest &request, MonoTime now)
{
    return decide(request, {}, false, now);
}

Result<UpstreamChoice> DispatchPolicy::retry(
    const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, MonoTime now)
{
    return decide(request, triedUpstreams, true, now);
}

Result<UpstreamChoice> DispatchPolicy::decide(
    const CallerRequest &request, const std::vector<UpstreamId> &triedUpstreams, bool isRetry, MonoTime now)
{
    const auto list = m_blackboard.publishedList.read();
    const auto load = m_blackboard.load.read();
    const auto health = m_blackboard.health.read();
    const auto membership = m_blackboard.membership.read();
    admission::AdmissionContext context;
    context.list = list.get();
    context.load = load.get();
    context.health = health.get();
    context.membership = membership.get();
    context.ownDataCentre = m_dataCentre;
    context.wallNow = m_clock.wallNow();
    routing::RoutingRequest routingRequest = toRoutingRequest(request);
    routingRequest.triedUpstreams = triedUpstreams;
    const auto admitted
        = isRetry ? m_controller.retry(routingRequest, context, now) : m_controller.admit(routingRequest, context, now);
    if (!admitted) {
        return tl::unexpected(admitted.error());
    }
    m_controller.recordDispatch(routingRequest, admitted->decision, now);
    return toChoice(admitted->decision);
}

void DispatchPolicy::recordFirstToken(const CallerRequest &request, MonoTime now)
{
    m_controller.recordFirstToken(request.id, now);
}

void DispatchPolicy::recordAttemptEnd(
    const CallerRequest &request, const UpstreamChoice &choice, AttemptEnd end, Tokens generated, MonoTime now)
{
    if (end == AttemptEnd::Whole) {
        m_controller.recordFinish(request.id, generated, now);
    } else {
        m_controller.recordFailure(request.id, now);
    }
    m_health.recordAttempt(choice.upstream, end, now);
}

const admission::AdmissionController &DispatchPolicy::controller() const
{
    return m_controller;
}

} // namespace magnolia::entry
