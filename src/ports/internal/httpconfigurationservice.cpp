// Reads and watches of the configuration service.
#include "ports/internal/httpconfigurationservice.h"

#include "ports/internal/answerparsing.h"
#include "ports/internal/httpget.h"

namespace magnolia::ports
{

namespace
{

constexpr Bytes largestAnswer{16 * 1024 * 1024};
constexpr int statusOk = 200;
constexpr int statusNothingNewer = 204;

tl::unexpected<Error> unexpectedStatus(int status)
{
    return makeError(
        ResultCode::PlatformMalformed, "the configuration service answered status " + std::to_string(status));
}

} // namespace

HttpConfigurationService::HttpConfigurationService(std::vector<std::string> addresses, CallParameters parameters)
    : m_addresses(std::move(addresses))
    , m_parameters(parameters)
{
}

std::size_t HttpConfigurationService::replicaCount() const
{
    return m_addresses.size();
}

Result<ConfigurationSnapshot> HttpConfigurationService::read(std::size_t first)
{
    const GetLimits limits{m_parameters.connect, m_parameters.answer, largestAnswer};
    const auto answer = httpGetAny(m_addresses, first, "/v1/config", limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status != statusOk) {
        return unexpectedStatus(answer->status);
    }
    return parseConfigurationAnswer(answer->body);
}

Result<std::optional<ConfigurationSnapshot>> HttpConfigurationService::watch(
    Revision after, Milliseconds wait, std::size_t first)
{
    const GetLimits limits{m_parameters.connect, m_parameters.answer + wait, largestAnswer};
    const std::string path
        = "/v1/config?after=" + std::to_string(after.count()) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = httpGetAny(m_addresses, first, path, limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status == statusNothingNewer) {
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
