// Memory set aside on several engines for one attempt of a prompt that no engine holds alone: all or none.
//
// Each reservation is held for a short time and renewed while it is needed. Whatever happens to this instance or to a
// release, the memory is free again within `holdTime` of the last renewal.
#pragma once

#include "framework/eventloop/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::httpclient
{
class HttpCall;
}

namespace magnolia::gateway
{

struct GatewayContext;

class MemoryTickets : public std::enable_shared_from_this<MemoryTickets>
{
public:
    MemoryTickets(GatewayContext &context, std::vector<std::string> addresses, double tokensEach);

    /** Asks all engines at once; `done` is called once, with whether all agreed. What was taken in vain is released. */
    void acquire(std::function<void(bool isHeld)> done);
    /** Gives everything back and ends renewal. */
    void release();
    /** The same at each engine. */
    [[nodiscard]] const std::string &name() const;

private:
    void order(const std::string &address, bool isRelease, std::function<void(int status)> done);
    void onReserved(int status);
    void renew();

    GatewayContext &m_context;
    std::vector<std::string> m_addresses;
    std::uint64_t m_tokens;
    std::string m_name;
    std::function<void(bool)> m_done;
    std::size_t m_pending = 0;
    bool m_hasFailed = false;
    bool m_isReleased = false;
    eventloop::TimerId m_renewal = 0;
};

} // namespace magnolia::gateway
