// Reserving, renewing and releasing of engine memory.
#include "gateway/internal/memoryreservation.h"

#include "framework/httpclient/httpcall.h"
#include "framework/logging/log.h"
#include "gateway/internal/gatewaycontext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace magnolia::gateway
{

namespace
{

/** Longest time that an abandoned reservation stays; within the published time in which memory has to be free. */
constexpr Milliseconds holdTime{3500};
constexpr Milliseconds renewInterval{1200};
/** An engine answers an order in a round trip; one that does not is not waited for. */
constexpr Milliseconds orderTime{400};
constexpr eventloop::SilenceLimits orderSilence{};
constexpr std::size_t largestReply = 16 * 1024;

std::string makeName(const GatewayContext &context, std::uint64_t number)
{
    std::array<char, 20> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number, 16);
    return context.settings.instance.value() + '-' + std::string(buf.data(), end);
}

} // namespace

MemoryTickets::MemoryTickets(GatewayContext &context, std::vector<std::string> addresses, double tokensEach)
    : m_context(context)
    , m_addresses(std::move(addresses))
    , m_tokens(static_cast<std::uint64_t>(std::ceil(tokensEach)))
    , m_name(makeName(context, context.random.next()))
{
}

const std::string &MemoryTickets::name() const
{
    return m_name;
}

void MemoryTickets::order(const std::string &address, bool isRelease, std::function<void(int status)> done)
{
    const Milliseconds hold = std::min(holdTime, m_context.settings.maxHoldTime);
    const std::string body = m_context.writeMemoryOrder({isRelease, m_name, m_tokens, hold});
    auto call = std::make_shared<httpclient::HttpCall>(m_context.loop, address, orderSilence, largestReply);
    call->start("POST", m_context.settings.paths.engineOrder, body, orderTime,
        [call, done = std::move(done)](const Result<httpclient::HttpReply> &reply) {
            done(reply ? reply->status : 0);
        });
}

void MemoryTickets::acquire(std::function<void(bool isHeld)> done)
{
    m_done = std::move(done);
    m_pending = m_addresses.size();
    for (const std::string &address : m_addresses) {
        order(address, false, [self = shared_from_this()](int status) {
            self->onReserved(status);
        });
    }
}

void MemoryTickets::onReserved(int status)
{
    constexpr int held = 200;
    --m_pending;
    m_hasFailed = m_hasFailed || status != held;
    if (m_pending > 0 || m_isReleased) {
        return;
    }
    const auto done = std::move(m_done);
    m_done = nullptr;
    if (m_hasFailed) {
        release();
    } else {
        renew();
    }
    done(!m_hasFailed);
}

void MemoryTickets::renew()
{
    m_renewal = m_context.loop.after(renewInterval, [self = shared_from_this()] {
        if (self->m_isReleased) {
            return;
        }
        for (const std::string &address : self->m_addresses) {
            self->order(address, false, [](int) {});
        }
        self->renew();
    });
}

void MemoryTickets::release()
{
    if (m_isReleased) {
        return;
    }
    m_isReleased = true;
    m_context.loop.cancel(m_renewal);
    for (const std::string &address : m_addresses) {
        order(address, true, [self = shared_from_this(), address](int status) {
            if (status == 0) {
                logging::write(logging::Level::Info, "gateway", "release_unanswered",
                    {{"ticket", std::string_view(self->m_name)}, {"address", std::string_view(address)}});
            }
        });
    }
}

} // namespace magnolia::gateway
