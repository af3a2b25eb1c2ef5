// Serialises errors for callers and operators.
#include "entry/internal/answer/erroranswer.h"

#include <nlohmann/json.hpp>

namespace magnolia::entry
{

std::string errorJson(const Error &error, Outcome thisAttempt, const RequestId &request)
{
    const ResultCodeInfo &info = resultCodeInfo(error.code);
    nlohmann::ordered_json body;
    body["code"] = static_cast<int>(error.code);
    body["name"] = info.name;
    body["message"] = info.text;
    body["detail"] = error.detail;
    body["outcome"] = toString(error.outcome);
    body["this_attempt"] = toString(thisAttempt);
    if (error.retryAfter) {
        body["retry_after_ms"] = error.retryAfter->count();
    }
    body["request_id"] = request.value();
    const nlohmann::ordered_json json{{"error", body}};
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string retryAfterSeconds(Milliseconds wait)
{
    return std::to_string(std::chrono::ceil<Seconds>(wait).count());
}

} // namespace magnolia::entry
