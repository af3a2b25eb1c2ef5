// Simulated plain service: executes each call and returns a summary of it.
#pragma once

#include "framework/global/types/time.h"
#include "standin/irole.h"

#include <atomic>
#include <cstdint>

namespace magnolia::standin
{

class ServiceRole : public IRole
{
public:
    explicit ServiceRole(Milliseconds workTime)
        : m_workTime(workTime)
    {
    }

    void handle(Exchange &exchange) override;
    bool publish(const nlohmann::json &content) override;

private:
    void executeCall(Exchange &exchange);

    const Milliseconds m_workTime;
    std::atomic<std::uint64_t> m_running{0};
};

} // namespace magnolia::standin
