// Registry of open connections, so that a test can silence the current ones while new ones work.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace magnolia::standin
{

class ConnectionRegistry
{
public:
    void add(const std::string &clientAddress)
    {
        const std::lock_guard lock(m_mutex);
        m_silentByClient[clientAddress] = false;
    }
    void remove(const std::string &clientAddress)
    {
        const std::lock_guard lock(m_mutex);
        m_silentByClient.erase(clientAddress);
    }
    /** Silences or unsilences all connections that are open now. Later connections are not affected. */
    void setSilent(bool isSilent)
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[clientAddress, isClientSilent] : m_silentByClient) {
            isClientSilent = isSilent;
        }
    }
    [[nodiscard]] bool isSilent(const std::string &clientAddress) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_silentByClient.find(clientAddress);
        return it != m_silentByClient.end() && it->second;
    }

private:
    mutable std::mutex m_mutex;
    // Keyed by the client address `ip:port`, which is unique among open connections.
    std::unordered_map<std::string, bool> m_silentByClient;
};

} // namespace magnolia::standin
