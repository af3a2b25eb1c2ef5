// Registry of the requests and reservations that are active on this instance, for the reconciliation of engine memory.
#pragma once

#include "framework/global/types/ids.h"

#include <mutex>
#include <set>
#include <string>

namespace magnolia::entry
{

/** Thread-safe. */
class ActiveRequests
{
public:
    void add(const RequestId &request)
    {
        const std::scoped_lock lock(m_mutex);
        m_ids.insert(request.value());
    }
    void remove(const RequestId &request)
    {
        const std::scoped_lock lock(m_mutex);
        if (const auto it = m_ids.find(request.value()); it != m_ids.end()) {
            m_ids.erase(it);
        }
    }
    [[nodiscard]] std::set<std::string> ids() const
    {
        const std::scoped_lock lock(m_mutex);
        return {m_ids.begin(), m_ids.end()};
    }

private:
    mutable std::mutex m_mutex;
    // A multiset, because callers choose request ids and may use one id for two concurrent requests.
    std::multiset<std::string> m_ids;
};

} // namespace magnolia::entry
