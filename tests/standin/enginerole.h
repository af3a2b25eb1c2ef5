// HTTP interface of a simulated model engine.
#pragma once

#include "standin/enginecore.h"
#include "standin/engineorders.h"
#include "standin/irole.h"

namespace magnolia::standin
{

class EngineRole : public IRole
{
public:
    EngineRole(const EngineOptions &options, Faults &faults);

    void handle(Exchange &exchange) override;
    bool publish(const nlohmann::json &content) override;

private:
    void handleStreams(Exchange &exchange);
    void handleReservations(Exchange &exchange);
    void handleKv(Exchange &exchange);
    void importKv(Exchange &exchange);
    void handleOrders(Exchange &exchange);

    EngineCore m_core;
    EngineOrders m_orders;
};

} // namespace magnolia::standin
