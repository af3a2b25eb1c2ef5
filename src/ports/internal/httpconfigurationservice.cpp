// Reads and watches the configuration service.
#include "ports/internal/httpconfigurationservice.h"

#include "ports/internal/answerparsing.h"
#include "ports/internal/httpget.h"

namespace magnolia::ports
{

namespace
{

constexpr Bytes maxAnswerSize{16 * 1024 * 1024};
constexpr int statusOk = 200;
constexpr int statusNoContent = 204;

tl::unexpected<Error> unexpectedStatus(int status)
{
    return makeError(
        ResultCode::PlatformMalformed, "the configuration service answered with status " + std::to_string(status));
}

} // namespace

HttpConfigurationService::HttpConfigurationService(std::vector<std::string> addresses, CallTimeouts timeouts)
    : m_addresses(std::move(addresses))
    , m_timeouts(timeouts)
{
}

std::size_t HttpConfigurationService::replicaCount() const
{
    return m_addresses.size();
}

Result<ConfigurationSnapshot> HttpConfigurationService::read(std::size_t firstReplica)
{
    const HttpGetLimits limits{m_timeouts.connectTimeout, m_timeouts.answerTimeout, maxAnswerSize};
    const auto answer = httpGetAny(m_addresses, firstReplica, "/v1/config", limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status != statusOk) {
        return unexpectedStatus(answer->status);
    }
    return parseConfigurationAnswer(answer->body);
}

Result<std::optional<ConfigurationSnapshot>> HttpConfigurationService::watch(
    Revision after, Milliseconds wait, std::size_t firstReplica)
{
    const HttpGetLimits limits{m_timeouts.connectTimeout, m_timeouts.answerTimeout + wait, maxAnswerSize};
    const std::string path
        = "/v1/config?after=" + std::to_string(after.count()) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = httpGetAny(m_addresses, firstReplica, path, limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == statusNoContent) {
        return std::optional<ConfigurationSnapshot>();
    }
    if (answer->status != statusOk) {
        return unexpectedStatus(answer->status);
    }
    return parseConfigurationAnswer(answer->body).map([](ConfigurationSnapshot snapshot) {
        return std::optional(std::move(snapshot));
    });
}

} // namespace magnolia::ports
