// One gateway instance: everything between callers and upstreams, on one event loop.
//
// It keeps nothing: what it knows comes from the platform's store or from its peers, and is read again after a restart.
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

/** What the deployment's adapter supplies; all must outlive the gateway. */
struct GatewayPorts
{
    published::IStoreClient &store;
    const published::IItemDecoder &decoder;
    /** The body of an answer that names the addresses callers should use. */
    std::function<std::string(const std::vector<std::string> &addresses, Milliseconds ttl)> writeLocateAnswer;
    /** The body of an order that sets an engine's memory aside or gives it back. */
    std::function<std::string(const MemoryOrder &order)> writeMemoryOrder;
};

class Gateway
{
public:
    Gateway(eventloop::EventLoop &loop, GatewaySettings settings, GatewayPorts ports, std::uint64_t seed);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Opens all ports. Error: ListenFailed (9004). */
    [[nodiscard]] Result<void> start();
    /** Takes no more callers, ends what is under way, and stops the loop. */
    void beginStop();

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace magnolia::gateway
