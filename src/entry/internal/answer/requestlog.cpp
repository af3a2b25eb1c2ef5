// Writes the log entries of one request.
#include "entry/internal/answer/requestlog.h"

#include "entry/internal/run/runstate.h"
#include "framework/logging/log.h"

namespace magnolia::entry
{

namespace
{

using logging::Level;
using std::string_view;

std::int64_t countOf(ResultCode code)
{
    return static_cast<std::int64_t>(code);
}

} // namespace

void logArrival(const CallerRequest &request)
{
    const string_view target = request.service.empty() ? request.model.value() : request.service;
    logging::write(Level::Info, "entry", "arrived",
        {{"request", string_view(request.id.value())}, {"class", string_view(request.requestClass.id.value())},
            {"organisation", string_view(request.organisation.value())}, {"target", target},
            {"prompt_tokens", request.prompt.count()}, {"stream", request.wantsStream},
            {"relayed_by", string_view(request.relayedBy)}, {"configuration", request.revision.count()}});
}

void logAdmission(const CallerRequest &request, const Result<UpstreamChoice> &admitted)
{
    if (admitted) {
        logging::write(Level::Info, "admission", "admitted", {{"request", string_view(request.id.value())}});
        return;
    }
    const Error &error = admitted.error();
    logging::write(Level::Info, "admission", "refused",
        {{"request", string_view(request.id.value())}, {"code", countOf(error.code)},
            {"name", resultCodeInfo(error.code).name}, {"detail", string_view(error.detail)},
            {"retry_after_ms", std::int64_t{error.retryAfter.value_or(Milliseconds(0)).count()}}});
}

void logKeyDecision(const CallerRequest &request, string_view decision, string_view detail)
{
    logging::write(
        Level::Info, "idempotency", decision, {{"request", string_view(request.id.value())}, {"detail", detail}});
}

void logChoice(const CallerRequest &request, const UpstreamChoice &choice)
{
    logging::write(Level::Info, "routing", "chosen",
        {{"request", string_view(request.id.value())}, {"class", string_view(request.requestClass.id.value())},
            {"organisation", string_view(request.organisation.value())},
            {"upstream", string_view(choice.upstream.value())}, {"why", string_view(choice.reason)},
            {"ranking", choice.ranking}, {"candidates", choice.candidateCount}, {"priority", choice.priority},
            {"predicted_first_token_ms", std::int64_t{choice.predictedFirstToken.count()}},
            {"list_age_ms", std::int64_t{choice.listAge.count()}},
            {"report_age_ms", std::int64_t{choice.reportAge.count()}}, {"configuration", request.revision.count()}});
}

void logAttempt(const RunState &state, AttemptEnd end)
{
    logging::write(end == AttemptEnd::Whole ? Level::Info : Level::Warning, "entry", "attempt",
        {{"request", string_view(state.request.id.value())}, {"upstream", string_view(state.choice.upstream.value())},
            {"end", toString(end)}, {"attempt", std::uint64_t{state.attempts}},
            {"resumes", std::uint64_t{state.resumes}}, {"tokens", state.cursor.nextOffset()}});
}

void logFinish(const CallerRequest &request, const RunReport &report)
{
    logging::write(Level::Info, "entry", "finished",
        {{"request", string_view(request.id.value())}, {"code", countOf(report.code)},
            {"name", resultCodeInfo(report.code).name}, {"outcome", toString(report.outcome)},
            {"this_attempt", toString(report.thisAttempt)}, {"upstream", string_view(report.upstream.value())},
            {"attempts", std::uint64_t{report.attempts}}, {"resumes", std::uint64_t{report.resumes}},
            {"tokens", report.generated.count()},
            {"first_token_ms", std::int64_t{report.timeToFirstToken.value_or(Milliseconds(-1)).count()}},
            {"total_ms", std::int64_t{report.totalTime.count()}}});
}

void logRefusal(const RequestId &id, const Error &error)
{
    logging::write(Level::Info, "entry", "refused",
        {{"request", string_view(id.value())}, {"code", countOf(error.code)}, {"name", resultCodeInfo(error.code).name},
            {"detail", string_view(error.detail)}});
}

} // namespace magnolia::entry
