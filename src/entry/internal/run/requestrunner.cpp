// Runs a caller's request from admission to its final answer.
#include "entry/requestrunner.h"

#include "entry/icalleranswer.h"
#include "entry/idispatchpolicy.h"
#include "entry/iidempotencycontroller.h"
#include "entry/internal/answer/requestlog.h"
#include "entry/internal/gate/ownerrelay.h"
#include "entry/internal/run/requestrun.h"
#include "entry/stopdeadline.h"

namespace magnolia::entry
{

namespace
{

RunReport answerWithError(ICallerAnswer &answer, const Error &error, Outcome thisAttempt)
{
    answer.sendError(error, thisAttempt);
    RunReport report;
    report.code = error.code;
    report.outcome = error.outcome;
    report.thisAttempt = thisAttempt;
    return report;
}

Result<UpstreamChoice> admit(RunnerServices &services, const CallerRequest &request)
{
    // Only its finish time bounds a request, so that one that finishes later might be cut off by the end of the
    // process.
    if (request.finishDue() > services.stopDeadline.value()) {
        return tl::unexpected(Error{ResultCode::AdmissionStopping,
            "the process ends before the finish time of the request", Outcome::NotRun, Milliseconds(0)});
    }
    return services.policy.admit(request, services.clock.monotonicNow());
}

RunReport runAdmitted(
    RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer, std::optional<KeyGranted> grant)
{
    auto admitted = admit(services, request);
    logAdmission(request, admitted);
    if (!admitted) {
        Error error = admitted.error();
        if (grant) {
            error.outcome = services.keys.close(request, *grant);
        }
        return answerWithError(answer, error, Outcome::NotRun);
    }
    return RequestRun(services, request, answer, std::move(*admitted), grant).run();
}

RunReport runKeyed(RunnerServices &services, const CallerRequest &request, ICallerAnswer &answer)
{
    const KeyDecision decision = services.keys.begin(request);
    if (const auto *grant = std::get_if<KeyGranted>(&decision)) {
        logKeyDecision(request, "granted", "");
        return runAdmitted(services, request, answer, *grant);
    }
    if (const auto *owner = std::get_if<KeyOwnedBy>(&decision)) {
        logKeyDecision(request, "relayed", owner->owner.value());
        return relayToOwner(services, request, answer, *owner);
    }
    if (const auto *replay = std::get_if<KeyReplay>(&decision)) {
        logKeyDecision(request, "replayed", "");
        answer.sendComplete(replay->status, replay->contentType, replay->body);
        return {};
    }
    const auto &refusal = std::get<KeyRefused>(decision);
    logKeyDecision(request, "refused", resultCodeInfo(refusal.error.code).name);
    return answerWithError(answer, refusal.error, refusal.thisAttempt);
}

} // namespace

RequestRunner::RequestRunner(RunnerServices services)
    : m_services(std::move(services))
{
}

RunReport RequestRunner::run(const CallerRequest &request, ICallerAnswer &answer)
{
    logArrival(request);
    RunReport report = request.requestClass.isIdempotent ? runAdmitted(m_services, request, answer, std::nullopt)
                                                         : runKeyed(m_services, request, answer);
    report.totalTime = toMilliseconds(m_services.clock.monotonicNow() - request.arrivedAt);
    logFinish(request, report);
    const std::string classLabel = "class=\"" + metrics::escapeLabel(request.requestClass.id.value()) + '"';
    const std::string nameLabel = ",result=\"" + std::string(resultCodeInfo(report.code).name) + '"';
    m_services.metrics.increment("magnolia_requests_total", classLabel + nameLabel);
    m_services.metrics.observe("magnolia_finish_seconds", classLabel, report.totalTime);
    if (report.timeToFirstToken) {
        m_services.metrics.observe("magnolia_first_token_seconds", classLabel, *report.timeToFirstToken);
    }
    return report;
}

} // namespace magnolia::entry
