// Simulated configuration service of the platform. The system reads and watches it but never writes to it.
#pragma once

#include "standin/irole.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace magnolia::standin
{

class ConfigurationRole : public IRole
{
public:
    void handle(Exchange &exchange) override;
    /** Content: `{"values":{...}}` with an optional `revision`, by default the previous one plus 1. */
    bool publish(const nlohmann::json &content) override;

private:
    struct Content
    {
        std::uint64_t revision = 0;
        nlohmann::json values = nlohmann::json::object();
    };

    /** Returns the content that clients see: the previous publication if the fault `stale` is on, else the latest. */
    [[nodiscard]] const Content &visibleContent(const Exchange &exchange) const;

    std::mutex m_mutex;
    std::condition_variable m_published;
    Content m_content;
    Content m_previousContent;
};

} // namespace magnolia::standin
