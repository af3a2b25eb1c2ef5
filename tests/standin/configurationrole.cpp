// Serves reads and watches of the configuration.
#include "standin/configurationrole.h"

#include "standin/exchange.h"

#include <chrono>

namespace magnolia::standin
{

void ConfigurationRole::handle(Exchange &exchange)
{
    if (exchange.path() != "/v1/config") {
        exchange.sendJson(404, {{"error", "unknown path"}});
        return;
    }
    std::unique_lock lock(m_mutex);
    if (const auto after = exchange.numericParameter("after")) {
        const std::chrono::milliseconds wait(exchange.numericParameter("wait_ms").value_or(0));
        const bool isNewer = m_published.wait_for(lock, wait, [&] {
            return visibleContent(exchange).revision > *after;
        });
        if (!isNewer) {
            lock.unlock();
            exchange.sendEmpty(204);
            return;
        }
    }
    const Content content = visibleContent(exchange);
    lock.unlock();
    if (exchange.applyResponseFaults()) {
        exchange.sendJson(200, {{"revision", content.revision}, {"values", content.values}});
    }
}

bool ConfigurationRole::publish(const nlohmann::json &content)
{
    const std::lock_guard lock(m_mutex);
    m_previousContent = m_content;
    m_content.revision = content.value("revision", m_content.revision + 1);
    m_content.values = content.at("values");
    m_published.notify_all();
    return true;
}

const ConfigurationRole::Content &ConfigurationRole::visibleContent(const Exchange &exchange) const
{
    return exchange.context().faults.isStale ? m_previousContent : m_content;
}

} // namespace magnolia::standin
