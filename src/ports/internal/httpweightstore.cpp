// Reads the weight store.
#include "ports/internal/httpweightstore.h"

#include "ports/internal/httpget.h"

#include <Poco/URI.h>

namespace magnolia::ports
{

namespace
{

constexpr Bytes maxAnswerSize{64 * 1024};
constexpr Milliseconds defaultRetryAfter{1'000};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;

std::string encodeSegment(std::string_view segment)
{
    std::string encoded;
    Poco::URI::encode(std::string(segment), "/?#%:", encoded);
    return encoded;
}

} // namespace

HttpWeightStore::HttpWeightStore(std::string address, CallTimeouts timeouts)
    : m_address(std::move(address))
    , m_timeouts(timeouts)
{
}

Result<std::string> HttpWeightStore::read(const ModelId &model, std::string_view version)
{
    const HttpGetLimits limits{m_timeouts.connectTimeout, m_timeouts.answerTimeout, maxAnswerSize};
    const std::string path = "/v1/weights/" + encodeSegment(model.value()) + "/" + encodeSegment(version);
    auto answer = httpGet(m_address, path, limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    switch (answer->status) {
    case statusOk:
        return std::move(answer->body);
    case statusNotFound:
        return makeError(ResultCode::OrderFailed,
            "the weight store does not have model " + model.value() + " in the requested version");
    case statusTooManyRequests:
        return tl::unexpected(Error{ResultCode::OrderRateLimited, "the weight store's rate limit is reached",
            Outcome::NotRun, answer->retryAfter.value_or(defaultRetryAfter)});
    default:
        return makeError(
            ResultCode::PlatformUnavailable, "the weight store answered with status " + std::to_string(answer->status));
    }
}

} // namespace magnolia::ports
