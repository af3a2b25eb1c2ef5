// Serves reads of the list of instances.
#include "standin/instancesrole.h"

#include "standin/exchange.h"

#include <chrono>

namespace magnolia::standin
{

namespace
{

std::int64_t systemTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void InstancesRole::handle(Exchange &exchange)
{
    if (exchange.path() != "/v1/instances") {
        exchange.sendJson(404, {{"error", "unknown path"}});
        return;
    }
    List list;
    {
        const std::lock_guard lock(m_mutex);
        // With the fault `stale`, neither the visible list nor its timestamp is updated.
        if (!exchange.context().faults.isStale) {
            updateVisible(std::chrono::steady_clock::now());
            m_visible.generatedAtMs = systemTimeMs();
        }
        list = m_visible;
    }
    if (exchange.applyResponseFaults()) {
        exchange.sendJson(
            200, {{"revision", list.revision}, {"generated_at_ms", list.generatedAtMs}, {"instances", list.instances}});
    }
}

bool InstancesRole::publish(const nlohmann::json &content)
{
    const std::lock_guard lock(m_mutex);
    const MonoTime now = std::chrono::steady_clock::now();
    updateVisible(now);
    m_pending.revision = content.value("revision", m_pending.revision + 1);
    m_pending.instances = content.at("instances");
    m_pendingPublishedAt = now;
    return true;
}

void InstancesRole::updateVisible(MonoTime now)
{
    if (m_pendingPublishedAt + m_lag <= now) {
        m_visible.revision = m_pending.revision;
        m_visible.instances = m_pending.instances;
    }
}

} // namespace magnolia::standin
