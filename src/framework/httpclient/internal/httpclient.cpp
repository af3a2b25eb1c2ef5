// Sends a request and reads its reply.
#include "framework/httpclient/httpclient.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"

namespace magnolia::httpclient
{

namespace
{

constexpr std::size_t maxHeadSize = 64 * 1024;

tl::unexpected<Error> unavailable(std::string detail)
{
    return makeError(ResultCode::PlatformUnavailable, std::move(detail));
}

} // namespace

HttpClient::HttpClient(
    eventloop::EventLoop &loop, std::string address, const eventloop::TcpTimeouts &timeouts, std::size_t maxReplySize)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_timeouts(timeouts)
    , m_maxReplySize(maxReplySize)
{
}

HttpClient::~HttpClient()
{
    m_loop.cancel(m_timeoutTimer);
    if (m_stream) {
        m_stream->close();
    }
}

void HttpClient::send(const std::string &method, const std::string &target, const std::string &body,
    Milliseconds timeout, ReplyCallback callback)
{
    m_replyCallback = std::move(callback);
    m_method = method;
    m_body.clear();
    m_isHeadRead = false;
    httpwire::RequestHead head;
    head.method = method;
    head.target = target;
    head.fields.add("Host", m_address);
    if (!body.empty()) {
        head.fields.add("Content-Type", "application/json");
        head.fields.add("Content-Length", std::to_string(body.size()));
    }
    // A persistent connection that has ended or has unsolicited input is not reused.
    if (m_stream && (!m_stream->isOpen() || m_stream->hasInputOrEnd())) {
        m_stream->close();
        m_stream.reset();
    }
    if (!m_stream) {
        m_stream = eventloop::TcpStream::connect(m_loop, m_address, *this, m_timeouts);
    }
    m_stream->write(httpwire::writeRequestHead(head) + body);
    m_timeout = timeout;
    m_extensionEndsAt.reset();
    m_lastInputAt.reset();
    startTimeout();
}

void HttpClient::startTimeout()
{
    m_loop.cancel(m_timeoutTimer);
    m_timeoutTimer = m_loop.after(m_timeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->finish(unavailable("no complete answer within the timeout"));
        }
    });
}

void HttpClient::extendTimeoutOnInput(Milliseconds maxTime)
{
    m_extensionEndsAt = m_loop.now() + maxTime;
}

std::optional<MonoTime> HttpClient::lastInputAt() const
{
    return m_lastInputAt;
}

bool HttpClient::readHead()
{
    switch (httpwire::readResponseHead(m_stream->input(), maxHeadSize, m_head)) {
    case httpwire::ReadState::Incomplete:
        return false;
    case httpwire::ReadState::Malformed:
    case httpwire::ReadState::TooLarge:
        finish(unavailable("the head of the answer is malformed or too large"));
        return false;
    case httpwire::ReadState::Complete:
        break;
    }
    const auto body = httpwire::responseBodyDecoder(m_head, m_method);
    if (!body) {
        finish(unavailable("the length of the answer is malformed or contradictory"));
        return false;
    }
    m_decoder = *body;
    m_isHeadRead = true;
    return true;
}

void HttpClient::onInput()
{
    const auto self = shared_from_this();
    if (!m_replyCallback) {
        m_stream->close();
        return;
    }
    m_lastInputAt = m_loop.now();
    if (m_extensionEndsAt && m_loop.now() < *m_extensionEndsAt) {
        startTimeout();
    }
    if (!m_isHeadRead && !readHead()) {
        return;
    }
    m_decoder.decode(m_stream->input(), m_body);
    if (m_decoder.isMalformed() || m_body.size() > m_maxReplySize) {
        finish(unavailable("the body of the answer is malformed or too large"));
    } else if (m_decoder.isComplete()) {
        finish(HttpReply{m_head.status, std::move(m_body), m_head});
    }
}

void HttpClient::onEnd(eventloop::StreamEnd /*end*/)
{
    finish(unavailable("the connection ended before the answer was complete"));
}

void HttpClient::finish(Result<HttpReply> reply)
{
    const auto self = shared_from_this();
    m_loop.cancel(m_timeoutTimer);
    const bool isReusable = reply && reply->status < 300 && m_stream && m_stream->isOpen()
        && !httpwire::listContains(m_head.fields.value("Connection"), "close");
    if (!isReusable && m_stream) {
        m_stream->close();
        m_stream.reset();
    }
    if (const auto callback = std::move(m_replyCallback)) {
        m_replyCallback = nullptr;
        callback(std::move(reply));
    }
}

} // namespace magnolia::httpclient
