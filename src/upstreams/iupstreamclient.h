// Client for model engines and plain services.
#pragma once

#include "upstreams/iupstreamanswer.h"
#include "upstreams/types/upstreamcall.h"

#include "framework/global/error.h"

#include <functional>
#include <memory>

namespace magnolia::upstreams
{

class IUpstreamClient
{
public:
    virtual ~IUpstreamClient() = default;

    /**
     * Sends the call once, on a new connection.
     *
     * Calls `mayDispatch` after the connection is established and before the first byte is sent; if it returns an
     * error, nothing is sent. Errors: UpstreamConnectFailed with NotRun, UpstreamBroken with Unknown once a byte may
     * have been sent, or the error of `mayDispatch`.
     */
    [[nodiscard]] virtual Result<std::unique_ptr<IUpstreamAnswer>> send(
        const UpstreamCall &call, const std::function<Result<void>()> &mayDispatch)
        = 0;
};

} // namespace magnolia::upstreams
