// Reading of requests and writing of answers on one connection.
#include "gateway/internal/callerconnection.h"

#include "framework/httpwire/messagereader.h"
#include "framework/httpwire/messagewriter.h"
#include "gateway/listener.h"

namespace magnolia::gateway
{

namespace
{

/** Dead callers are found within a few seconds, so that no upstream goes on working for them. */
constexpr eventloop::SilenceLimits callerSilence{Milliseconds{3000}, Milliseconds{1000}, 3, Milliseconds{6000}};
/** After the last answer the connection is read for so long, so that closing it does not reset the answer away. */
constexpr Milliseconds lingerTime{500};

} // namespace

CallerConnection::CallerConnection(eventloop::EventLoop &loop, ICallHandler &handler, Listener &listener)
    : m_loop(loop)
    , m_handler(handler)
    , m_listener(listener)
{
}

void CallerConnection::start(const Poco::Net::StreamSocket &socket)
{
    m_stream = eventloop::TcpStream::adopt(m_loop, socket, *this, callerSilence);
    m_begunAt = m_loop.now();
    setTimer(m_handler.limits().idleTimeout);
}

bool CallerConnection::isBusy() const
{
    return m_state == State::Body || m_state == State::Answering || (m_state == State::Head && m_isHeadBegun);
}

void CallerConnection::closeIfIdle()
{
    if (m_state == State::Head && !m_isHeadBegun) {
        beginClosing();
    }
}

void CallerConnection::onInput()
{
    const auto self = shared_from_this();
    readMore();
}

void CallerConnection::readMore()
{
    if (m_state == State::Closing) {
        m_stream->input().clear();
        return;
    }
    if (m_state == State::Head) {
        readHead();
    }
    if (m_state == State::Body) {
        readBody();
    }
}

void CallerConnection::readHead()
{
    if (m_stream->input().empty()) {
        return;
    }
    const ReadLimits limits = m_handler.limits();
    if (!m_isHeadBegun) {
        m_isHeadBegun = true;
        m_begunAt = m_loop.now();
        setTimer(limits.headerTimeout);
    }
    switch (httpwire::readRequestHead(m_stream->input(), limits.maxHeaderBytes, m_head)) {
    case httpwire::ReadState::Incomplete:
        return;
    case httpwire::ReadState::Malformed:
        refuse(400);
        return;
    case httpwire::ReadState::TooLarge:
        refuse(431);
        return;
    case httpwire::ReadState::Complete:
        break;
    }
    const auto body = httpwire::requestBody(m_head);
    if (!body) {
        refuse(400);
        return;
    }
    if (body->announcedLength() > limits.maxBodyBytes) {
        refuse(413);
        return;
    }
    m_bodyDecoder = *body;
    m_body.clear();
    m_isLastRequest = m_head.isHttp10 || httpwire::listHolds(m_head.fields.value("Connection"), "close");
    if (!m_bodyDecoder.isComplete() && httpwire::isSameName(m_head.fields.value("Expect"), "100-continue")) {
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_state = State::Body;
}

void CallerConnection::readBody()
{
    m_bodyDecoder.take(m_stream->input(), m_body);
    if (m_bodyDecoder.isMalformed()) {
        refuse(400);
        return;
    }
    if (m_body.size() > m_handler.limits().maxBodyBytes) {
        refuse(413);
        return;
    }
    if (m_bodyDecoder.isComplete()) {
        dispatch();
    }
}

void CallerConnection::dispatch()
{
    m_loop.cancel(m_timer);
    m_timer = 0;
    m_state = State::Answering;
    m_isHeadBegun = false;
    auto call = m_handler.handle(std::move(m_head), std::move(m_body), m_begunAt, *this);
    // The handler may have answered, and the connection may be at its next request or closed.
    if (m_state == State::Answering) {
        m_call = std::move(call);
    }
    m_head = {};
    m_body = {};
}

void CallerConnection::refuse(int status)
{
    m_state = State::Answering;
    m_isLastRequest = true;
    httpwire::ResponseHead head;
    head.status = status;
    answer(std::move(head), {});
}

bool CallerConnection::addConnectionFields(httpwire::ResponseHead &head) const
{
    const bool isClosing = m_isLastRequest || m_handler.isClosing();
    if (isClosing) {
        head.fields.add("Connection", "close");
    }
    return isClosing;
}

void CallerConnection::answer(httpwire::ResponseHead head, std::string_view body)
{
    if (m_state != State::Answering) {
        return;
    }
    m_isLastRequest = addConnectionFields(head);
    head.fields.add("Content-Length", std::to_string(body.size()));
    std::string bytes = httpwire::writeResponseHead(head);
    bytes.append(body);
    m_stream->write(bytes);
    finishAnswer();
}

void CallerConnection::begin(httpwire::ResponseHead head)
{
    if (m_state != State::Answering) {
        return;
    }
    m_isLastRequest = addConnectionFields(head);
    head.fields.add("Transfer-Encoding", "chunked");
    m_stream->write(httpwire::writeResponseHead(head));
}

void CallerConnection::piece(std::string_view bytes)
{
    if (m_state == State::Answering && !bytes.empty()) {
        m_stream->write(httpwire::writeChunk(bytes));
    }
}

void CallerConnection::end()
{
    if (m_state == State::Answering) {
        m_stream->write(httpwire::lastChunk);
        finishAnswer();
    }
}

void CallerConnection::breakOff()
{
    if (m_state == State::Answering) {
        m_call.reset();
        close();
    }
}

std::size_t CallerConnection::pendingBytes() const
{
    return m_stream->pendingOutput();
}

void CallerConnection::finishAnswer()
{
    m_call.reset();
    if (m_state == State::Closed) {
        return;
    }
    if (m_isLastRequest) {
        beginClosing();
        return;
    }
    m_state = State::Head;
    setTimer(m_handler.limits().idleTimeout);
    // A request may have come with the last; it is read outside the present call.
    m_loop.defer([self = shared_from_this()] {
        if (self->m_state == State::Head) {
            self->readMore();
        }
    });
}

void CallerConnection::onOutputSent()
{
    if (m_call) {
        m_call->onDrained();
    }
}

void CallerConnection::onEnd(eventloop::StreamEnd /*end*/)
{
    const auto self = shared_from_this();
    if (const auto call = std::move(m_call)) {
        m_call.reset();
        call->cancel();
    }
    close();
}

void CallerConnection::setTimer(Milliseconds time)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(time, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onTimer();
        }
    });
}

void CallerConnection::onTimer()
{
    m_timer = 0;
    if (m_state == State::Closing) {
        close();
    } else if (m_state == State::Body || m_isHeadBegun) {
        refuse(408);
    } else if (m_state == State::Head) {
        beginClosing();
    }
}

void CallerConnection::beginClosing()
{
    m_state = State::Closing;
    m_isHeadBegun = false;
    m_stream->shutdownOutput();
    setTimer(lingerTime);
}

void CallerConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    m_loop.cancel(m_timer);
    m_stream->close();
    m_listener.forget(shared_from_this());
}

} // namespace magnolia::gateway
