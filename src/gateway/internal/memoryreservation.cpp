// Reserves, renews and releases engine memory.
#include "gateway/internal/memoryreservation.h"

#include "framework/httpclient/httpclient.h"
#include "framework/logging/log.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/upstreamsignals.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace magnolia::gateway
{

namespace
{

/** Maximum lifetime of an abandoned reservation; within the published time in which memory must be free. */
constexpr Milliseconds preferredHoldTime{3500};
constexpr Milliseconds renewInterval{1200};
/** An engine responds to an order within one round trip; later responses are ignored. */
constexpr Milliseconds orderTimeout{400};
constexpr eventloop::TcpTimeouts orderTcpTimeouts{};
constexpr std::size_t maxReplyBytes = 16 * 1024;

std::string makeReservationId(const GatewayContext &context, std::uint64_t number)
{
    std::array<char, 20> buffer{};
    const auto [end, ec] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, 16);
    return context.settings.instance.value() + '-' + std::string(buffer.data(), end);
}

} // namespace

MemoryReservation::MemoryReservation(
    GatewayContext &context, const std::vector<placement::UpstreamKey> &engines, double tokensPerEngine)
    : m_context(context)
    , m_tokens(static_cast<std::uint64_t>(std::ceil(tokensPerEngine)))
    , m_id(makeReservationId(context, context.random.next()))
{
    for (const placement::UpstreamKey key : engines) {
        if (const KnownUpstream *known = context.upstreams.find(key)) {
            m_engines.push_back({key, known->entry.address});
        }
    }
}

const std::string &MemoryReservation::id() const
{
    return m_id;
}

void MemoryReservation::sendOrder(const Engine &engine, bool isRelease, std::function<void(int status)> done)
{
    const Milliseconds cappedHoldTime = std::min(preferredHoldTime, m_context.settings.maxHoldTime);
    const std::string body = m_context.writeMemoryOrder({isRelease, m_id, m_tokens, cappedHoldTime});
    auto call
        = std::make_shared<httpclient::HttpClient>(m_context.loop, engine.address, orderTcpTimeouts, maxReplyBytes);
    call->send("POST", m_context.settings.paths.engineOrder, body, orderTimeout,
        [self = shared_from_this(), call, key = engine.key, done = std::move(done)](
            const Result<httpclient::HttpReply> &reply) {
            if (reply) {
                recordUpstreamSignals(
                    self->m_context, key, readUpstreamSignals(reply->head, self->m_context.settings.names));
            }
            done(reply ? reply->status : 0);
        });
}

void MemoryReservation::acquire(std::function<void(bool isReserved)> done)
{
    m_done = std::move(done);
    m_pending = m_engines.size();
    for (const Engine &engine : m_engines) {
        sendOrder(engine, false, [self = shared_from_this()](int status) {
            self->onReserveReply(status);
        });
    }
}

void MemoryReservation::onReserveReply(int status)
{
    constexpr int reservedStatus = 200;
    --m_pending;
    m_hasFailed = m_hasFailed || status != reservedStatus;
    if (m_pending > 0 || m_isReleased) {
        return;
    }
    const auto done = std::move(m_done);
    m_done = nullptr;
    if (m_hasFailed) {
        release();
    } else {
        scheduleRenewal();
    }
    done(!m_hasFailed);
}

void MemoryReservation::scheduleRenewal()
{
    m_renewTimer = m_context.loop.after(renewInterval, [self = shared_from_this()] {
        if (self->m_isReleased) {
            return;
        }
        for (const Engine &engine : self->m_engines) {
            self->sendOrder(engine, false, [](int) {});
        }
        self->scheduleRenewal();
    });
}

void MemoryReservation::release()
{
    if (m_isReleased) {
        return;
    }
    m_isReleased = true;
    m_context.loop.cancel(m_renewTimer);
    for (const Engine &engine : m_engines) {
        sendOrder(engine, true, [self = shared_from_this(), address = engine.address](int status) {
            if (status == 0) {
                logging::write(logging::Level::Info, "gateway", "release_unanswered",
                    {{"ticket", std::string_view(self->m_id)}, {"address", std::string_view(address)}});
            }
        });
    }
}

} // namespace magnolia::gateway
