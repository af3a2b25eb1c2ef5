// Requests executed by a stand-in, in order. Tests use the journal to check at-most-once execution.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace magnolia::standin
{

struct ExecutedRequest
{
    std::string requestId;
    std::string idempotencyKey;
    std::string method;
    std::string path;
    std::string bodyHash;
    std::uint64_t bodyBytes = 0;
    /** Number of executions so far, including this one, with the same idempotency key (or request id if there is none).
     */
    std::uint64_t count = 0;
};

class Journal
{
public:
    /** Adds an executed request, sets its `count` and returns the count. */
    std::uint64_t add(ExecutedRequest request);
    [[nodiscard]] nlohmann::json toJson() const;

private:
    mutable std::mutex m_mutex;
    // Invariant: m_counts holds the number of entries in m_executed for each key.
    std::vector<ExecutedRequest> m_executed;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace magnolia::standin
