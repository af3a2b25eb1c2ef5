// Sends one request and reads its response.
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

/** Connecting takes one round trip of a few milliseconds; an upstream that does not answer the first packet counts as
 * unreachable. */
constexpr Milliseconds connectTimeout{400};
/** Round trips in which the other end closes a connection that it does not want. */
constexpr Milliseconds settleTime{20};
/** Keep-alive probes detect a dead upstream while it sends nothing, missing acknowledgements while data is sent to it.
 * The second timeout also ends the probes, so it is later than the second probe: a sound host may be silent for a
 * second or two. */
constexpr eventloop::TcpTimeouts upstreamTcpTimeouts{Milliseconds{1000}, Milliseconds{1000}, 2, Milliseconds{2500}};
constexpr std::size_t maxHeadBytes = 64 * 1024;
/** Upper bound of informational heads and late answers to other requests before the answer to this one. */
constexpr std::size_t maxSkippedBytes = 256 * 1024;
/** Lower statuses are informational; the final head follows them. */
constexpr int finalStatus = 200;
/** A pooled connection is closed this long before the upstream would close it. */
constexpr Milliseconds keepAliveMargin{1000};
constexpr Milliseconds maxKeepAliveTime{4000};

/** Returns the time to keep a connection: `timeout=N` (seconds) of a Keep-Alive field less `keepAliveMargin`, at most
 * `maxKeepAliveTime`, which is also the default. */
Milliseconds keepAliveTime(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = field.find(name);
    if (at == std::string_view::npos) {
        return maxKeepAliveTime;
    }
    int seconds = 0;
    const std::string_view digits = field.substr(at + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::min<Milliseconds>(
        maxKeepAliveTime, std::chrono::duration_cast<Milliseconds>(Seconds(seconds)) - keepAliveMargin);
}

} // namespace

UpstreamCall::UpstreamCall(
    eventloop::EventLoop &loop, UpstreamConnectionPool &pool, UpstreamCallRequest request, IUpstreamCallListener &user)
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
    if (m_request.canReuseConnection) {
        m_stream = m_pool.take(m_request.address);
    }
    if (m_stream) {
        m_isReused = true;
        m_stream->setListener(*this);
        m_stream->setMaxInput(m_request.maxInput);
        send();
        return;
    }
    m_stream = eventloop::TcpStream::connect(m_loop, m_request.address, *this, upstreamTcpTimeouts);
    m_stream->setMaxInput(m_request.maxInput);
    m_connectTimer = m_loop.after(connectTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->fail(CallFailure::NotConnected, "no connection in time");
        }
    });
}

void UpstreamCall::cancel()
{
    m_user = nullptr;
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_settleTimer);
    if (m_stream) {
        m_stream->close();
    }
}

void UpstreamCall::setReading(bool isReading)
{
    m_stream->setReading(isReading);
}

void UpstreamCall::setMaxInput(std::size_t bytes)
{
    m_stream->setMaxInput(bytes);
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
    if (m_request.mayStillSend && !m_request.mayStillSend()) {
        fail(CallFailure::Withdrawn, "request may no longer be sent");
        return;
    }
    m_settleTimer = m_loop.after(settleTime, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->settle();
        }
    });
    send();
}

void UpstreamCall::settle()
{
    if (m_settleTimer != 0) {
        m_loop.cancel(m_settleTimer);
        m_settleTimer = 0;
        if (m_user != nullptr) {
            m_user->onCallConnected();
        }
    }
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
    settle();
    readResponse();
}

void UpstreamCall::readResponse()
{
    while (m_user != nullptr) {
        if (!m_isInBody && !readHead()) {
            return;
        }
        std::string bytes;
        m_body.decode(m_stream->input(), bytes);
        if (m_body.isMalformed()) {
            fail(CallFailure::Malformed, "malformed body");
            return;
        }
        if (m_isSkippingResponse) {
            if (skipBytes(bytes.size())) {
                return;
            }
        } else if (!bytes.empty()) {
            m_user->onResponseBody(bytes);
        }
        if (m_user == nullptr || !m_body.isComplete()) {
            return;
        }
        m_isInBody = false;
        if (!m_isSkippingResponse) {
            complete(true);
            return;
        }
    }
}

/** Counts bytes that belong to no answer to this request; returns whether there are too many. */
bool UpstreamCall::skipBytes(std::size_t count)
{
    m_skippedBytes += count;
    if (m_skippedBytes <= maxSkippedBytes) {
        return false;
    }
    fail(CallFailure::Malformed, "no answer among the bytes");
    return true;
}

/** Returns false if the head is incomplete or the call has ended. */
bool UpstreamCall::readHead()
{
    std::size_t headSize = 0;
    do {
        const std::size_t before = m_stream->input().size();
        switch (httpwire::readResponseHead(m_stream->input(), maxHeadBytes, m_head)) {
        case httpwire::ReadState::Incomplete:
            m_stream->setMaxInput(m_stream->input().size() + m_request.maxInput);
            return false;
        case httpwire::ReadState::Malformed:
        case httpwire::ReadState::TooLarge:
            fail(CallFailure::Malformed, "malformed head");
            return false;
        case httpwire::ReadState::Complete:
            break;
        }
        headSize = before - m_stream->input().size();
        if (m_head.status < finalStatus && skipBytes(headSize)) {
            return false;
        }
    } while (m_head.status < finalStatus);
    const auto body = httpwire::responseBodyDecoder(m_head, m_request.method);
    if (!body) {
        fail(CallFailure::Malformed, "contradictory framing");
        return false;
    }
    m_body = *body;
    m_isInBody = true;
    const std::string_view echoedId = m_head.fields.value(m_request.requestIdField);
    // An upstream may refuse a request before it has read the id. On a reused connection such a refusal may belong to
    // another request.
    const bool isRefusalWithoutId
        = echoedId.empty() && !m_isReused && (m_head.fields.has(m_request.notExecutedField) || m_head.status == 421);
    m_isSkippingResponse = echoedId != m_request.requestId && !isRefusalWithoutId;
    if (m_isSkippingResponse) {
        m_user->onOtherResponseHead(m_head);
        if (m_body.framing() == httpwire::BodyFraming::UntilClose) {
            fail(CallFailure::Malformed, "answer to another request");
            return false;
        }
        return !skipBytes(headSize);
    }
    m_user->onResponseHead(m_head);
    return m_user != nullptr;
}

void UpstreamCall::complete(bool isFramed)
{
    m_loop.cancel(m_settleTimer);
    IUpstreamCallListener *user = m_user;
    m_user = nullptr;
    const bool isReusable = isFramed && !m_head.isHttp10 && m_stream->isOpen() && m_stream->input().empty()
        && m_stream->pendingOutput() == 0 && !httpwire::listContains(m_head.fields.value("Connection"), "close");
    if (isReusable) {
        m_pool.keep(m_request.address, std::move(m_stream), keepAliveTime(m_head.fields.value("Keep-Alive")));
    } else {
        m_stream->close();
    }
    m_stream.reset();
    user->onResponseComplete();
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
    if (m_isInBody && !m_isSkippingResponse && m_body.framing() == httpwire::BodyFraming::UntilClose) {
        const std::size_t untaken = m_stream->unacknowledgedOutput();
        logging::write(logging::Level::Info, "gateway", "unframed_answer_ended",
            {{"request", std::string_view(m_request.requestId)}, {"upstream", std::string_view(m_request.address)},
                {"closed", end == eventloop::StreamEnd::Closed}, {"error", std::int64_t{m_stream->error()}},
                {"unsent_bytes", std::uint64_t{m_stream->pendingOutput()}}, {"untaken_bytes", std::uint64_t{untaken}}});
        // A sound upstream takes the whole request before it closes.
        if (end == eventloop::StreamEnd::Closed && untaken == 0) {
            complete(false);
            return;
        }
    }
    if (!m_hasInput && m_isReused) {
        fail(CallFailure::Stale, "kept connection had ended");
        return;
    }
    const bool isSettled = m_settleTimer == 0;
    fail(isSettled ? CallFailure::Broken : CallFailure::ClosedOnConnect,
        end == eventloop::StreamEnd::Closed ? "closed before the end" : "reset");
}

void UpstreamCall::fail(CallFailure failure, const std::string &detail)
{
    const auto self = shared_from_this();
    IUpstreamCallListener *user = m_user;
    cancel();
    if (user != nullptr) {
        user->onCallFailed(failure, detail);
    }
}

} // namespace magnolia::gateway
