// Implements the limit of log lines.
#include "fleet/internal/rejectionlog.h"

namespace magnolia::fleet
{

bool RejectionLog::shouldLog(const std::string &address, MonoTime now)
{
    if (const auto found = m_loggedAt.find(address); found != m_loggedAt.end()) {
        if (now - found->second < interval) {
            return false;
        }
        found->second = now;
        return true;
    }
    if (m_loggedAt.size() >= maxAddresses) {
        std::erase_if(m_loggedAt, [&](const auto &it) {
            return now - it.second >= interval;
        });
    }
    if (m_loggedAt.size() >= maxAddresses) {
        return false;
    }
    m_loggedAt.emplace(address, now);
    return true;
}

} // namespace magnolia::fleet
