// Reads the list of instances.
#include "ports/internal/httpinstancelist.h"

#include "framework/logging/log.h"
#include "ports/internal/answerparsing.h"
#include "ports/internal/httpget.h"
#include "settings/types/checkfailure.h"

namespace magnolia::ports
{

namespace
{

constexpr Bytes maxAnswerSize{16 * 1024 * 1024};
constexpr int statusOk = 200;

void logRejectedRows(const ListAnswer &answer)
{
    const settings::CheckFailure failure{ResultCode::PlatformMalformed, answer.rejectedRows};
    logging::write(logging::Level::Error, "platform", "instance-rows-refused",
        {{"code", static_cast<std::uint64_t>(failure.code)}, {"revision", answer.list.revision},
            {"problems", toError(failure).detail}});
}

} // namespace

HttpInstanceList::HttpInstanceList(std::vector<std::string> addresses, CallTimeouts timeouts)
    : m_addresses(std::move(addresses))
    , m_timeouts(timeouts)
{
}

std::size_t HttpInstanceList::replicaCount() const
{
    return m_addresses.size();
}

Result<PublishedList> HttpInstanceList::read(std::size_t firstReplica)
{
    const HttpGetLimits limits{m_timeouts.connectTimeout, m_timeouts.answerTimeout, maxAnswerSize};
    const auto answer = httpGetAny(m_addresses, firstReplica, "/v1/instances", limits);
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status != statusOk) {
        return makeError(ResultCode::PlatformMalformed,
            "the list of instances answered with status " + std::to_string(answer->status));
    }
    auto parsed = parseListAnswer(answer->body);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    if (!parsed->rejectedRows.empty() && m_loggedRevision.exchange(parsed->list.revision) != parsed->list.revision) {
        logRejectedRows(*parsed);
    }
    return std::move(parsed->list);
}

} // namespace magnolia::ports
