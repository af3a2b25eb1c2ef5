// Sending of one request and reading of its reply.
#include "framework/httpclient/httpclient.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"

namespace magnolia::httpclient
{

namespace
{

constexpr std::size_t largestHead = 64 * 1024;

tl::unexpected<Error> unavailable(std::string detail)
{
    return makeError(ResultCode::PlatformUnavailable, std::move(detail));
}

} // namespace

HttpClient::HttpClient(
    eventloop::EventLoop &loop, std::string address, const eventloop::TcpTimeouts &silence, std::size_t largestReply)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_silence(silence)
    , m_largestReply(largestReply)
{
}

HttpClient::~HttpClient()
{
    m_loop.cancel(m_timer);
    if (m_stream) {
        m_stream->close();
    }
}

void HttpClient::send(const std::string &method, const std::string &target, const std::string &body, Milliseconds time,
    ReplyCallback done)
{
    m_done = std::move(done);
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
    // A kept connection that has ended or speaks unasked is not used again.
    if (m_stream && (!m_stream->isOpen() || m_stream->hasInputOrEnd())) {
        m_stream->close();
        m_stream.reset();
    }
    if (!m_stream) {
        m_stream = eventloop::TcpStream::connect(m_loop, m_address, *this, m_silence);
    }
    m_stream->write(httpwire::writeRequestHead(head) + body);
    m_timer = m_loop.after(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->finish(unavailable("no answer in time"));
        }
    });
}

bool HttpClient::readHead()
{
    switch (httpwire::readResponseHead(m_stream->input(), largestHead, m_head)) {
    case httpwire::ReadState::Incomplete:
        return false;
    case httpwire::ReadState::Malformed:
    case httpwire::ReadState::TooLarge:
        finish(unavailable("malformed answer"));
        return false;
    case httpwire::ReadState::Complete:
        break;
    }
    const auto body = httpwire::responseBodyDecoder(m_head, m_method);
    if (!body) {
        finish(unavailable("contradictory framing"));
        return false;
    }
    m_decoder = *body;
    m_isHeadRead = true;
    return true;
}

void HttpClient::onInput()
{
    const auto self = shared_from_this();
    if (!m_done) {
        m_stream->close();
        return;
    }
    if (!m_isHeadRead && !readHead()) {
        return;
    }
    m_decoder.decode(m_stream->input(), m_body);
    if (m_decoder.isMalformed() || m_body.size() > m_largestReply) {
        finish(unavailable("malformed body"));
    } else if (m_decoder.isComplete()) {
        finish(HttpReply{m_head.status, std::move(m_body)});
    }
}

void HttpClient::onEnd(eventloop::StreamEnd /*end*/)
{
    finish(unavailable("connection ended"));
}

void HttpClient::finish(Result<HttpReply> reply)
{
    const auto self = shared_from_this();
    m_loop.cancel(m_timer);
    const bool isKept = reply && reply->status < 300 && m_stream && m_stream->isOpen()
        && !httpwire::listContains(m_head.fields.value("Connection"), "close");
    if (!isKept && m_stream) {
        m_stream->close();
        m_stream.reset();
    }
    if (const auto done = std::move(m_done)) {
        m_done = nullptr;
        done(std::move(reply));
    }
}

} // namespace magnolia::httpclient
