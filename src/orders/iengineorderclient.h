// Client of an engine's order interface.
#pragma once

#include "framework/global/error.h"
#include "orders/types/engineorder.h"
#include "orders/types/enginestate.h"

#include <functional>

namespace magnolia::orders
{

class IEngineOrderClient
{
public:
    virtual ~IEngineOrderClient() = default;

    /** Reads the engine's state. Errors: UpstreamConnectFailed, UpstreamSilent or PlatformMalformed. */
    [[nodiscard]] virtual Result<EngineState> readState(const UpstreamId &engine) = 0;
    /**
     * Sends the order once, on a new connection. Calls `mayDispatch` after the connection is established and before the
     * first byte is sent. Errors: OrderFenced if the engine rejects the fencing number, OrderFailed, or the error of
     * `mayDispatch`.
     */
    [[nodiscard]] virtual Result<void> sendOrder(
        const UpstreamId &engine, const EngineOrder &order, const std::function<Result<void>()> &mayDispatch)
        = 0;
};

} // namespace magnolia::orders
