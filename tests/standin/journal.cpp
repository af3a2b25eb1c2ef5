// Counts executed requests and formats the journal as JSON.
#include "standin/journal.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::standin
{

std::uint64_t Journal::add(ExecutedRequest request)
{
    const std::lock_guard lock(m_mutex);
    const std::string &key = request.idempotencyKey.empty() ? request.requestId : request.idempotencyKey;
    const std::uint64_t count = ++m_counts[key];
    request.count = count;
    m_executed.push_back(std::move(request));
    return count;
}

nlohmann::json Journal::toJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json rows = nlohmann::json::array();
    for (const ExecutedRequest &it : m_executed) {
        rows.push_back({{"request_id", it.requestId}, {"idempotency_key", it.idempotencyKey}, {"method", it.method},
            {"path", it.path}, {"body_hash", it.bodyHash}, {"body_bytes", it.bodyBytes}, {"count", it.count}});
    }
    return {{"executed", std::move(rows)}};
}

} // namespace magnolia::standin
