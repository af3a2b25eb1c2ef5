// Reserves memory on several engines for one attempt with a prompt that does not fit on one engine: on all or on none.
//
// Each engine holds the reservation for a short time, and it is renewed while it is needed. If this instance fails or a
// release is lost, the memory is free again within the hold time after the last renewal.
#pragma once

#include "framework/eventloop/eventloop.h"
#include "placement/types/placement.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::httpclient
{
class HttpClient;
}

namespace magnolia::gateway
{

struct GatewayContext;

class MemoryReservation : public std::enable_shared_from_this<MemoryReservation>
{
public:
    MemoryReservation(
        GatewayContext &context, const std::vector<placement::UpstreamKey> &engines, double tokensPerEngine);

    /** Asks all engines at once. `done` is called once with whether all of them reserved the memory; if not, all
     * reservations are released. */
    void acquire(std::function<void(bool isReserved)> done);
    /** Releases all reservations and stops their renewal. */
    void release();
    /** Id of the reservation, the same at each engine. */
    [[nodiscard]] const std::string &id() const;

private:
    struct Engine
    {
        placement::UpstreamKey key = 0;
        std::string address;
    };

    void sendOrder(const Engine &engine, bool isRelease, std::function<void(int status)> done);
    void onReserveReply(int status);
    void scheduleRenewal();

    GatewayContext &m_context;
    std::vector<Engine> m_engines;
    std::uint64_t m_tokens;
    std::string m_id;
    std::function<void(bool)> m_done;
    std::size_t m_pending = 0;
    bool m_hasFailed = false;
    bool m_isReleased = false;
    eventloop::TimerId m_renewTimer = 0;
};

} // namespace magnolia::gateway
