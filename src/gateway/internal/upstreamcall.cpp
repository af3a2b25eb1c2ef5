// Sending of one request and reading of its answer.
#include "gateway/internal/upstreamcall.h"

#include "framework/httpwire/messagereader.h"
#include "framework/logging/log.h"
#include "gateway/internal/upstreamconnectionpool.h"

#include <algorithm>
#include <charconv>

namespace magnolia::gateway
{

namespace
{

/** A connection takes a round trip of milliseconds; an upstream that does not answer the first packet is out of reach.
 */
constexpr Milliseconds connectTime{400};
/** Found by keep-alives while an upstream works in silence, and by missing acknowledgements while it is written to. */
constexpr eventloop::SilenceLimits upstreamSilence{Milliseconds{1000}, Milliseconds{1000}, 2, Milliseconds{1500}};
constexpr std::size_t largestHead = 64 * 1024;
/** A kept connection is given up this long before its upstream would close it. */
constexpr Milliseconds keepMargin{1000};
constexpr Milliseconds longestKeep{4000};

/** The seconds of `timeout=N` in a Keep-Alive field; `longestKeep` where there are none. */
Milliseconds keepTime(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = field.find(name);
    if (at == std::string_view::npos) {
        return longestKeep;
    }
    int seconds = 0;
    const std::string_view digits = field.substr(at + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::min<Milliseconds>(longestKeep, std::chrono::duration_cast<Milliseconds>(Seconds(seconds)) - keepMargin);
}

} // namespace

UpstreamCall::UpstreamCall(
    eventloop::EventLoop &loop, UpstreamPool &pool, UpstreamCallRequest request, IUpstreamCallUser &user)
    : m_loop(loop)
    , m_pool(pool)
    , m_request(std::move(request))
    , m_user(&user)
{
}

UpstreamCall::~UpstreamCall()
{
    cancel();
}

void UpstreamCall::start()
{
    if (m_request.mayReuse) {
        m_stream = m_pool.take(m_request.address);
    }
    if (m_stream) {
        m_isReused = true;
        m_stream->setUser(*this);
        send();
        return;
    }
    m_stream = eventloop::TcpStream::connect(m_loop, m_request.address, *this, upstreamSilence);
    m_connectTimer = m_loop.after(connectTime, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->fail(CallFailure::NotConnected, "no connection in time");
        }
    });
}

void UpstreamCall::cancel()
{
    m_user = nullptr;
    m_loop.cancel(m_connectTimer);
    if (m_stream) {
        m_stream->close();
    }
}

void UpstreamCall::setReading(bool isReading)
{
    m_stream->setReading(isReading);
}

bool UpstreamCall::isSent() const
{
    return m_isSent;
}

const std::string &UpstreamCall::address() const
{
    return m_request.address;
}

void UpstreamCall::onConnected()
{
    m_loop.cancel(m_connectTimer);
    send();
}

void UpstreamCall::send()
{
    m_isSent = true;
    m_stream->write(m_request.bytes);
    m_request.bytes.clear();
    m_request.bytes.shrink_to_fit();
}

void UpstreamCall::onInput()
{
    const auto self = shared_from_this();
    m_hasInput = true;
    readAnswer();
}

void UpstreamCall::readAnswer()
{
    while (m_user != nullptr) {
        if (!m_isInBody && !readHead()) {
            return;
        }
        std::string bytes;
        m_body.take(m_stream->input(), bytes);
        if (m_body.isMalformed()) {
            fail(CallFailure::Malformed, "malformed body");
            return;
        }
        if (!bytes.empty() && !m_isForeign) {
            m_user->onAnswerBody(bytes);
        }
        if (m_user == nullptr || !m_body.isComplete()) {
            return;
        }
        m_isInBody = false;
        if (!m_isForeign) {
            complete(true);
            return;
        }
    }
}

/** False where the head is not there yet, or the call has failed. */
bool UpstreamCall::readHead()
{
    switch (httpwire::readResponseHead(m_stream->input(), largestHead, m_head)) {
    case httpwire::ReadState::Incomplete:
        return false;
    case httpwire::ReadState::Malformed:
    case httpwire::ReadState::TooLarge:
        fail(CallFailure::Malformed, "malformed head");
        return false;
    case httpwire::ReadState::Complete:
        break;
    }
    if (m_head.status < 200) {
        return readHead();
    }
    const auto body = httpwire::responseBody(m_head, m_request.method);
    if (!body) {
        fail(CallFailure::Malformed, "contradictory framing");
        return false;
    }
    m_body = *body;
    m_isInBody = true;
    const std::string_view echoed = m_head.fields.value(m_request.requestIdField);
    // A refusal may come before the upstream has read the id; on a kept connection it may be another request's.
    const bool isAnonymousRefusal
        = echoed.empty() && !m_isReused && (m_head.fields.has(m_request.notExecutedField) || m_head.status == 421);
    m_isForeign = echoed != m_request.requestId && !isAnonymousRefusal;
    if (m_isForeign && m_body.framing() == httpwire::BodyFraming::UntilClose) {
        fail(CallFailure::Malformed, "answer to another request");
        return false;
    }
    if (!m_isForeign) {
        m_user->onAnswerHead(m_head);
    }
    return m_user != nullptr;
}

void UpstreamCall::complete(bool isFramed)
{
    IUpstreamCallUser *user = m_user;
    m_user = nullptr;
    const bool isKept = isFramed && !m_head.isHttp10 && m_stream->isOpen() && m_stream->input().empty()
        && m_stream->pendingOutput() == 0 && !httpwire::listHolds(m_head.fields.value("Connection"), "close");
    if (isKept) {
        m_pool.keep(m_request.address, std::move(m_stream), keepTime(m_head.fields.value("Keep-Alive")));
    } else {
        m_stream->close();
    }
    m_stream.reset();
    user->onAnswerComplete(isFramed);
}

void UpstreamCall::onEnd(eventloop::StreamEnd end)
{
    const auto self = shared_from_this();
    if (m_user == nullptr) {
        return;
    }
    if (!m_isSent) {
        fail(CallFailure::NotConnected, "connection refused");
        return;
    }
    if (m_isInBody && !m_isForeign && m_body.framing() == httpwire::BodyFraming::UntilClose
        && end == eventloop::StreamEnd::Closed) {
        complete(false);
        return;
    }
    if (!m_hasInput && m_isReused) {
        fail(CallFailure::Stale, "kept connection had ended");
        return;
    }
    fail(CallFailure::Broken, end == eventloop::StreamEnd::Closed ? "closed before the end" : "reset");
}

void UpstreamCall::fail(CallFailure failure, const std::string &detail)
{
    const auto self = shared_from_this();
    IUpstreamCallUser *user = m_user;
    cancel();
    if (user != nullptr) {
        user->onCallFailed(failure, detail);
    }
}

} // namespace magnolia::gateway
