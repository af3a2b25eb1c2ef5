// Implements waiting for a configuration.
#include "gateway/internal/heldrequest.h"

#include "gateway/internal/callerhandler.h"

namespace magnolia::gateway
{

namespace
{

/** Memory of a request beside its body: head, connection and buffers. */
constexpr std::uint64_t overheadBytes = 4096;

} // namespace

HeldRequest::HeldRequest(eventloop::EventLoop &loop, CallerHandler &handler, httpwire::RequestHead head,
    std::string body, MonoTime receivedAt, IResponseWriter &responseWriter)
    : m_loop(loop)
    , m_handler(handler)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_receivedAt(receivedAt)
    , m_responseWriter(responseWriter)
    , m_size(m_body.size() + overheadBytes)
{
}

HeldRequest::~HeldRequest()
{
    cancel();
}

void HeldRequest::hold(Milliseconds time)
{
    m_isHeld = true;
    m_timer = m_loop.after(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_timer = 0;
            self->handOver();
        }
    });
}

void HeldRequest::release()
{
    if (m_isHeld) {
        handOver();
    }
}

bool HeldRequest::isHeld() const
{
    return m_isHeld;
}

Bytes HeldRequest::size() const
{
    return m_size;
}

std::string_view HeldRequest::requestId(const std::string &fieldName) const
{
    return m_head.fields.value(fieldName);
}

httpwire::RequestHead HeldRequest::takeHead()
{
    return std::move(m_head);
}

void HeldRequest::handOver()
{
    const auto self = shared_from_this();
    m_loop.cancel(m_timer);
    m_timer = 0;
    m_isHeld = false;
    m_handler.removeHeld(*this);
    m_next = m_handler.handleHeld(std::move(m_head), std::move(m_body), m_receivedAt, m_responseWriter);
}

void HeldRequest::cancel()
{
    m_loop.cancel(m_timer);
    m_timer = 0;
    if (m_isHeld) {
        m_isHeld = false;
        m_handler.removeHeld(*this);
    }
    if (const auto next = std::move(m_next)) {
        m_next.reset();
        next->cancel();
    }
}

void HeldRequest::onProcessEnding()
{
    if (const auto next = m_next) {
        next->onProcessEnding();
    }
}

void HeldRequest::onPartitioned()
{
    // The request may end during the call.
    if (const auto next = m_next) {
        next->onPartitioned();
    }
}

void HeldRequest::onDrained()
{
    if (const auto next = m_next) {
        next->onDrained();
    }
}

Milliseconds HeldRequest::waitLimit() const
{
    return m_next ? m_next->waitLimit() : IActiveRequest::waitLimit();
}

} // namespace magnolia::gateway
