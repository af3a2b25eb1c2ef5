// Changes the model, version and role of an engine by order.
#include "standin/engineorders.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::standin
{

bool EngineOrders::apply(const nlohmann::json &order, MonoTime now)
{
    const std::lock_guard lock(m_mutex);
    const auto fencing = order.value("fencing", std::uint64_t{0});
    if (m_checksFencing && fencing < m_highestFencing) {
        return false;
    }
    m_highestFencing = std::max(m_highestFencing, fencing);
    const nlohmann::json desired = order.value("want", nlohmann::json::object());
    const std::string model = desired.value("model", m_model);
    const std::string version = desired.value("version", m_version);
    m_role = desired.value("role", m_role);
    if (model != m_model || version != m_version) {
        m_model = model;
        m_version = version;
        m_readyAt = now + m_loadTime;
    }
    return true;
}

nlohmann::json EngineOrders::toJson(MonoTime now) const
{
    const std::lock_guard lock(m_mutex);
    return {{"highest_fencing", m_highestFencing}, {"model", m_model}, {"version", m_version}, {"role", m_role},
        {"state", now < m_readyAt ? "loading" : "ready"}};
}

} // namespace magnolia::standin
