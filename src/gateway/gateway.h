// One gateway instance: accepts requests from callers and forwards them to upstreams, all on one event loop.
//
// It stores nothing on disk. After a restart it reads its state again from the platform's store or from its peers.
#pragma once

#include "fleet/ifleetdelegate.h"
#include "framework/eventloop/eventloop.h"
#include "gateway/types/gatewaysettings.h"
#include "gateway/types/memoryorder.h"
#include "published/iitemdecoder.h"
#include "published/istoreclient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::gateway
{

/** Services that the deployment's adapter provides. The referenced objects must outlive the gateway. */
struct GatewayDependencies
{
    published::IStoreClient &store;
    const published::IItemDecoder &decoder;
    /** Returns the body of a response that lists the addresses callers should use. */
    std::function<std::string(const std::vector<std::string> &addresses, Milliseconds ttl)> writeLocateResponse;
    /** Returns the body of an order that reserves or releases memory at an engine. */
    std::function<std::string(const MemoryOrder &order)> writeMemoryOrder;
};

class Gateway
{
public:
    Gateway(eventloop::EventLoop &loop, GatewaySettings settings, GatewayDependencies dependencies, std::uint64_t seed);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Opens all listening sockets. Error: ListenFailed (9004). */
    [[nodiscard]] Result<void> start();
    /** Begins a graceful shutdown: stops accepting callers, finishes open requests and then stops the event loop. */
    void beginStop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace magnolia::gateway
