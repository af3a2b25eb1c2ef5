// Calls upstreams over HTTP with one connection per call.
#pragma once

#include "upstreams/iupstreamclient.h"

namespace magnolia::upstreams
{

class HttpUpstreamClient : public IUpstreamClient
{
public:
    [[nodiscard]] Result<std::unique_ptr<IUpstreamAnswer>> send(
        const UpstreamCall &call, const std::function<Result<void>()> &mayDispatch) override;
};

} // namespace magnolia::upstreams
