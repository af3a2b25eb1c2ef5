// Simulated instance list of the platform, with live and leaving instances. Updates become visible with a delay.
#pragma once

#include "framework/global/types/time.h"
#include "standin/irole.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>

namespace magnolia::standin
{

class InstancesRole : public IRole
{
public:
    /** A published list becomes visible after `lag`. */
    explicit InstancesRole(Milliseconds lag)
        : m_lag(lag)
    {
    }

    void handle(Exchange &exchange) override;
    /** Content: `{"instances":[...]}` with an optional `revision`, by default the previous one plus 1. */
    bool publish(const nlohmann::json &content) override;

private:
    struct List
    {
        std::uint64_t revision = 0;
        nlohmann::json instances = nlohmann::json::array();
        std::int64_t generatedAtMs = 0;
    };

    void updateVisible(MonoTime now);

    const Milliseconds m_lag;
    std::mutex m_mutex;
    List m_visible;
    List m_pending;
    MonoTime m_pendingPublishedAt{};
};

} // namespace magnolia::standin
