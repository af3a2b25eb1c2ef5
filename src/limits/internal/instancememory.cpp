// Implements the memory of instances.
#include "limits/instancememory.h"

#include <algorithm>

namespace magnolia::limits
{

InstanceMemory::InstanceMemory(std::string self, MonoTime startedAt, InstanceMemoryParameters parameters)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_parameters(parameters)
{
    updateNames();
}

void InstanceMemory::record(const std::string &instance, MonoTime heardAt, MonoTime now)
{
    if (instance.empty() || instance == m_self || now - heardAt >= m_parameters.forgetAfter) {
        return;
    }
    if (const auto known = m_records.find(instance); known != m_records.end()) {
        known->second.heardAt = std::max(known->second.heardAt, heardAt);
        return;
    }
    if (m_records.size() >= m_parameters.maxInstances) {
        return;
    }
    m_records[instance] = {now, heardAt};
    updateNames();
}

void InstanceMemory::remove(const std::string &instance)
{
    if (m_records.erase(instance) > 0) {
        updateNames();
    }
}

void InstanceMemory::prune(MonoTime now)
{
    const std::size_t count = std::erase_if(m_records, [&](const auto &it) {
        return now - it.second.heardAt >= m_parameters.forgetAfter;
    });
    if (count > 0) {
        updateNames();
    }
}

const std::vector<std::string> &InstanceMemory::names() const
{
    return m_names;
}

bool InstanceMemory::isSettled(MonoTime now) const
{
    if (now - m_startedAt < m_parameters.settleTime || m_records.empty()) {
        return false;
    }
    const auto newCount = std::count_if(m_records.begin(), m_records.end(), [&](const auto &it) {
        return now - it.second.firstKnownAt < m_parameters.settleTime;
    });
    return static_cast<std::size_t>(newCount) <= m_parameters.maxNewInstances;
}

std::vector<std::pair<std::string, MonoTime>> InstanceMemory::silentSince(MonoTime time) const
{
    std::vector<std::pair<std::string, MonoTime>> silent;
    for (const auto &[name, record] : m_records) {
        if (record.heardAt < time) {
            silent.emplace_back(name, record.heardAt);
        }
    }
    return silent;
}

std::uint64_t InstanceMemory::generation() const
{
    return m_generation;
}

void InstanceMemory::updateNames()
{
    ++m_generation;
    m_names.clear();
    m_names.reserve(m_records.size() + 1);
    for (const auto &[name, record] : m_records) {
        m_names.push_back(name);
    }
    m_names.insert(std::lower_bound(m_names.begin(), m_names.end(), m_self), m_self);
}

} // namespace magnolia::limits
